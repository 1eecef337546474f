#include "rules/rulechecks.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace bluebell::detail {
namespace {

constexpr std::size_t DigestDigits = 64;

template<typename Map>
std::vector<std::string_view> namesOf(const Map &map)
{
    std::vector<std::string_view> names;
    names.reserve(map.size());
    for (const auto &[id, rule] : map)
        names.push_back(id.value());
    return names;
}

/// Adds rules to a RuleSet and reports duplicates and values that are not allowed.
class RuleSetBuilder
{
public:
    RuleSetBuilder(RuleSet &rules, ErrorList &errors) : m_rules(rules), m_errors(errors) { }

    void collect(const LocatedRule &located)
    {
        m_line = &located.line;
        std::visit([this](const auto &rule) { add(rule); }, located.rule);
    }

private:
    void add(const ClassRule &rule) { insert(m_rules.classes, rule.id, rule); }
    void add(const OrganisationRule &rule) { insert(m_rules.organisations, rule.id, rule); }
    void add(const ModelRule &rule) { insert(m_rules.models, rule.id, rule); }
    void add(const AdapterRule &rule) { insert(m_rules.adapters, rule.id, rule); }

    void add(const KeyRule &rule)
    {
        const auto &digest = rule.digest.value();
        const bool isHex = digest.size() == DigestDigits
                && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!isHex)
            addError("a key stands as the 64 lower-case hexadecimal digits of its SHA-256; "
                     "'bluebell-ctl key new' prints the line");
        insert(m_rules.keys, rule.digest, rule);
    }

    void add(const GrantRule &rule)
    {
        const auto name =
                rule.organisation.value() + ' ' + rule.model.value() + ' ' + rule.adapter.value();
        if (m_grants.insert(name).second)
            m_rules.grants.emplace(rule.organisation, rule);
        else
            addError("duplicate grant");
    }

    void add(const TargetRule &rule)
    {
        const auto address = toString(rule.address);
        if (rule.address.port != 0 && !m_addresses.insert(address).second)
            addError("the address " + address + " belongs to another target already");
        insert(m_rules.targets, rule.id, rule);
    }

    void add(const RouteRule &rule)
    {
        if (!rule.prefix.starts_with('/') || rule.prefix == "/")
            addError(quoted(rule.prefix) + " is not a path prefix such as /stock");
        if (rule.prefix == "/v1" || rule.prefix.starts_with("/v1/"))
            addError("the prefix /v1 is reserved");
        if (!m_rules.routes.emplace(rule.prefix, rule).second)
            addError(quoted(rule.prefix) + " is defined more than once");
    }

    void add(const StoreRule &rule)
    {
        if (m_rules.store.has_value())
            addError("only one 'store' rule is allowed");
        m_rules.store = rule;
    }

    void add(const PolicyRule &rule)
    {
        if (std::exchange(m_hasPolicy, true))
            addError("only one 'policy' rule is allowed");
        constexpr std::uint32_t MaxBaseShare = 90;
        if (rule.baseShare > MaxBaseShare)
            addError("base-share is a percentage from 1 to 90");
        m_rules.policy = rule;
    }

    template<typename Key, typename Value>
    void insert(std::map<Key, Value> &map, const Key &key, const Value &value)
    {
        if (!map.emplace(key, value).second)
            addError(std::string(m_line->kind.text) + ' ' + quoted(key.value())
                     + " is defined more than once");
    }

    void addError(std::string message)
    {
        m_errors.add(m_line->number, m_line->name.column, std::move(message));
    }

    RuleSet &m_rules;
    ErrorList &m_errors;
    const RawLine *m_line = nullptr;
    std::set<std::string> m_grants;
    std::set<std::string> m_addresses;
    bool m_hasPolicy = false;
};

/// Checks that all references between rules resolve, and that each model fits into a target.
class ReferenceChecker
{
public:
    ReferenceChecker(const RuleSet &rules, ErrorList &errors) : m_rules(rules), m_errors(errors) { }

    void check(const LocatedRule &located)
    {
        m_line = &located.line;
        std::visit([this](const auto &rule) { checkRule(rule); }, located.rule);
    }

private:
    void checkRule(const ClassRule & /*rule*/) { }
    void checkRule(const StoreRule & /*rule*/) { }
    void checkRule(const PolicyRule & /*rule*/) { }
    void checkRule(const TargetRule & /*rule*/) { }

    void checkRule(const OrganisationRule &rule)
    {
        resolve(m_rules.classes, rule.classId, "class", "class");
    }

    void checkRule(const KeyRule &rule)
    {
        resolve(m_rules.organisations, rule.organisation, "organisation", "organisation");
    }

    void checkRule(const ModelRule &rule)
    {
        const bool fits = m_rules.targets.empty()
                || std::any_of(m_rules.targets.begin(), m_rules.targets.end(),
                               [&](const auto &it) { return it.second.memory >= rule.memory; });
        if (!fits)
            addError("memory", "no target has enough memory for " + quoted(rule.id.value()));
    }

    void checkRule(const AdapterRule &rule)
    {
        resolve(m_rules.models, rule.model, "model", "model");
    }

    void checkRule(const GrantRule &rule)
    {
        resolve(m_rules.organisations, rule.organisation, "organisation", {});
        resolve(m_rules.models, rule.model, "model", "model");
        if (rule.adapter.isEmpty() || rule.adapter.value() == "*")
            return;
        resolve(m_rules.adapters, rule.adapter, "adapter", "adapter");
        const auto it = m_rules.adapters.find(rule.adapter);
        if (it != m_rules.adapters.end() && it->second.model != rule.model)
            addError("adapter",
                     "adapter " + quoted(rule.adapter.value()) + " belongs to model "
                             + quoted(it->second.model.value()));
    }

    void checkRule(const RouteRule &rule)
    {
        for (const auto &target : rule.targets) {
            resolve(m_rules.targets, target, "target", "targets");
            const auto it = m_rules.targets.find(target);
            if (it != m_rules.targets.end() && it->second.kind != TargetKind::Service)
                addError("targets", quoted(target.value()) + " is not of kind=service");
        }
    }

    template<typename Map>
    void resolve(const Map &map, const typename Map::key_type &id, std::string_view what,
                 std::string_view attribute)
    {
        if (id.isEmpty() || map.contains(id))
            return;
        addError(attribute,
                 "there is no " + std::string(what) + ' ' + quoted(id.value())
                         + suggestion(id.value(), namesOf(map)));
    }

    void addError(std::string_view attribute, std::string message)
    {
        std::size_t column = m_line->name.column;
        for (const auto &it : m_line->attributes)
            if (it.name.text == attribute)
                column = it.value.column;
        m_errors.add(m_line->number, column, std::move(message));
    }

    const RuleSet &m_rules;
    ErrorList &m_errors;
    const RawLine *m_line = nullptr;
};

} // namespace

RuleSet collectRules(const std::vector<LocatedRule> &rules, ErrorList &errors)
{
    RuleSet collected;
    RuleSetBuilder builder(collected, errors);
    for (const auto &it : rules)
        builder.collect(it);
    return collected;
}

void checkReferences(const std::vector<LocatedRule> &rules, const RuleSet &collected,
                     ErrorList &errors)
{
    ReferenceChecker checker(collected, errors);
    for (const auto &it : rules)
        checker.check(it);
}

} // namespace bluebell::detail
