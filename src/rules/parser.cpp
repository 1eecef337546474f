#include "rules/parser.h"

#include "rules/lexer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <limits>
#include <set>
#include <utility>

namespace bluebell {
namespace {

using detail::Attribute;
using detail::RawLine;
using detail::Word;

constexpr std::size_t MaxLineLength = 4096;
constexpr std::size_t DigestDigits = 64;

struct Unit
{
    std::string_view suffix;
    std::uint64_t factor;
};

constexpr std::array<Unit, 4> ByteUnits { {
        { "GiB", 1ULL << 30U },
        { "MiB", 1ULL << 20U },
        { "KiB", 1ULL << 10U },
        { "B", 1 },
} };

constexpr std::array<Unit, 4> DurationUnits { {
        { "ms", 1'000'000 },
        { "s", 1'000'000'000 },
        { "min", 60'000'000'000 },
        { "h", 3'600'000'000'000 },
} };

/// Collects the errors of one file.
class ErrorList
{
public:
    explicit ErrorList(std::string_view file) : m_file(file) { }

    void add(std::size_t line, std::size_t column, std::string message)
    {
        m_errors.push_back({ std::string(m_file), line, column, std::move(message) });
    }

    [[nodiscard]] bool isEmpty() const noexcept { return m_errors.empty(); }

    /// \returns the errors, sorted by line and column
    [[nodiscard]] std::vector<RuleError> take()
    {
        std::stable_sort(m_errors.begin(), m_errors.end(), [](const auto &a, const auto &b) {
            return std::pair(a.line, a.column) < std::pair(b.line, b.column);
        });
        return std::move(m_errors);
    }

private:
    std::string_view m_file;
    std::vector<RuleError> m_errors;
};

std::string quoted(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

/// \returns a suggestion to append to a message, or an empty text when no candidate is close
std::string suggestion(std::string_view word, const std::vector<std::string_view> &candidates)
{
    const auto it = detail::nearestWord(word, candidates);
    return it.empty() ? std::string() : "; did you mean " + quoted(it) + "?";
}

/// Reads the attributes of one line and records which attributes the kind of rule has.
///
/// The read functions report missing and malformed attributes and then return a placeholder.
class AttributeReader
{
public:
    AttributeReader(const RawLine &line, ErrorList &errors) : m_line(line), m_errors(errors)
    {
        checkDuplicates();
    }

    [[nodiscard]] std::string text(std::string_view name)
    {
        const auto *word = find(name);
        if (word == nullptr)
            reportMissing(name);
        else if (word->text.empty())
            addError(*word, "the value of " + quoted(name) + " is empty");
        return word == nullptr ? std::string() : std::string(word->text);
    }

    [[nodiscard]] std::string textOr(std::string_view name, std::string_view fallback)
    {
        return has(name) ? text(name) : std::string(fallback);
    }

    /// Reads a whole number of at least `minimum`, optionally followed by `suffix`.
    [[nodiscard]] std::uint64_t number(std::string_view name, std::uint64_t minimum,
                                       std::string_view suffix = {})
    {
        const auto *word = find(name);
        if (word == nullptr) {
            reportMissing(name);
            return minimum;
        }
        auto digits = word->text;
        if (!suffix.empty() && digits.ends_with(suffix))
            digits.remove_suffix(suffix.size());
        const auto value = parseNumber(digits);
        if (value && *value >= minimum && *value <= MaxNumber)
            return *value;
        addError(*word,
                 quoted(word->text) + " is not a whole number of at least "
                         + std::to_string(minimum)
                         + (suffix.empty() ? std::string()
                                           : ", written like 100" + std::string(suffix)));
        return minimum;
    }

    [[nodiscard]] std::uint64_t numberOr(std::string_view name, std::uint64_t minimum,
                                         std::uint64_t fallback)
    {
        return has(name) ? number(name, minimum) : fallback;
    }

    [[nodiscard]] Bytes bytes(std::string_view name)
    {
        return scaled(name, ByteUnits, "a size such as 14GiB or 200MiB");
    }

    [[nodiscard]] Duration duration(std::string_view name)
    {
        return std::chrono::nanoseconds(
                scaled(name, DurationUnits, "a time such as 500ms, 10s, 5min or 2h"));
    }

    [[nodiscard]] Duration durationOr(std::string_view name, Duration fallback)
    {
        return has(name) ? duration(name) : fallback;
    }

    template<typename T>
    [[nodiscard]] T choice(std::string_view name,
                           const std::vector<std::pair<std::string_view, T>> &choices)
    {
        const auto *word = find(name);
        if (word == nullptr) {
            reportMissing(name);
            return choices.front().second;
        }
        std::vector<std::string_view> words;
        words.reserve(choices.size());
        for (const auto &[text, value] : choices) {
            if (text == word->text)
                return value;
            words.push_back(text);
        }
        addError(*word,
                 quoted(word->text) + " is not a valid value of " + quoted(name)
                         + suggestion(word->text, words));
        return choices.front().second;
    }

    template<typename T>
    [[nodiscard]] T choiceOr(std::string_view name, T fallback,
                             const std::vector<std::pair<std::string_view, T>> &choices)
    {
        return has(name) ? choice(name, choices) : fallback;
    }

    [[nodiscard]] bool yesOrNo(std::string_view name)
    {
        return choice<bool>(name, { { "no", false }, { "yes", true } });
    }

    [[nodiscard]] Endpoint endpoint(std::string_view name)
    {
        const auto *word = find(name);
        if (word == nullptr) {
            reportMissing(name);
            return {};
        }
        const auto it = parseEndpoint(word->text);
        if (it)
            return it.value();
        addError(*word, it.error().message);
        return {};
    }

    /// Reports attributes that the kind of rule does not have, and words that are not attributes.
    void finish()
    {
        std::vector<std::string_view> known(m_knownAttributes.begin(), m_knownAttributes.end());
        for (const auto &[name, value] : m_line.attributes)
            if (!m_knownAttributes.contains(name.text))
                addError(name,
                         quoted(m_line.kind.text) + " has no attribute " + quoted(name.text)
                                 + suggestion(name.text, known));
        for (const auto &word : m_line.unexpectedWords)
            addError(word, quoted(word.text) + " is not of the form name=value");
    }

private:
    static constexpr auto MaxNumber =
            static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 4);

    void checkDuplicates()
    {
        std::set<std::string_view> seen;
        for (const auto &[name, value] : m_line.attributes)
            if (!seen.insert(name.text).second)
                addError(name, quoted(name.text) + " is given more than once");
    }

    [[nodiscard]] bool has(std::string_view name) { return find(name) != nullptr; }

    [[nodiscard]] const Word *find(std::string_view name)
    {
        m_knownAttributes.insert(name);
        for (const auto &it : m_line.attributes)
            if (it.name.text == name)
                return &it.value;
        return nullptr;
    }

    [[nodiscard]] static std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t value = 0;
        const auto *end = text.data() + text.size();
        const auto [it, ec] = std::from_chars(text.data(), end, value);
        if (ec != std::errc {} || it != end)
            return std::nullopt;
        return value;
    }

    template<std::size_t N>
    [[nodiscard]] std::uint64_t scaled(std::string_view name, const std::array<Unit, N> &units,
                                       std::string_view form)
    {
        const auto *word = find(name);
        if (word == nullptr) {
            reportMissing(name);
            return 0;
        }
        for (const auto &[suffix, factor] : units) {
            if (!word->text.ends_with(suffix))
                continue;
            const auto value = parseNumber(word->text.substr(0, word->text.size() - suffix.size()));
            if (value && *value > 0 && *value <= MaxNumber / factor)
                return *value * factor;
        }
        addError(*word, quoted(word->text) + " is not " + std::string(form));
        return 0;
    }

    void reportMissing(std::string_view name)
    {
        addError(m_line.kind, quoted(m_line.kind.text) + " needs the attribute " + quoted(name));
    }

    void addError(const Word &word, std::string message)
    {
        m_errors.add(m_line.number, word.column, std::move(message));
    }

    const RawLine &m_line;
    ErrorList &m_errors;
    std::set<std::string_view> m_knownAttributes;
};

using Reader = AttributeReader;

Rule readClass(const RawLine &line, Reader &reader)
{
    return ClassRule { ClassId(std::string(line.name.text)),
                       static_cast<std::uint32_t>(reader.number("weight", 1)),
                       reader.duration("timeout") };
}

Rule readOrganisation(const RawLine &line, Reader &reader)
{
    return OrganisationRule { OrganisationId(std::string(line.name.text)),
                              static_cast<Tokens>(reader.number("rate", 1, "/s")),
                              static_cast<Tokens>(reader.number("burst", 1)),
                              ClassId(reader.text("class")) };
}

Rule readKey(const RawLine &line, Reader &reader)
{
    return KeyRule { KeyDigest(std::string(line.name.text)),
                     OrganisationId(reader.text("organisation")) };
}

Rule readModel(const RawLine &line, Reader &reader)
{
    return ModelRule { ModelId(std::string(line.name.text)), reader.bytes("memory"),
                       static_cast<std::uint32_t>(reader.number("replicas", 1)) };
}

Rule readAdapter(const RawLine &line, Reader &reader)
{
    return AdapterRule { AdapterId(std::string(line.name.text)), ModelId(reader.text("model")),
                         reader.bytes("memory") };
}

Rule readGrant(const RawLine &line, Reader &reader)
{
    return GrantRule { OrganisationId(std::string(line.name.text)), ModelId(reader.text("model")),
                       AdapterId(reader.textOr("adapter", "")) };
}

Rule readTarget(const RawLine &line, Reader &reader)
{
    TargetRule it;
    it.id = TargetId(std::string(line.name.text));
    it.address = reader.endpoint("address");
    it.dataCentre = DataCentreId(reader.text("datacentre"));
    it.kind = reader.choice<TargetKind>(
            "kind", { { "engine", TargetKind::Engine }, { "service", TargetKind::Service } });
    if (it.kind == TargetKind::Engine) {
        it.memory = reader.bytes("memory");
        it.checksFencing = reader.yesOrNo("fencing");
        it.slots = static_cast<std::uint32_t>(reader.number("slots", 1));
    }
    return it;
}

std::vector<TargetId> splitTargets(std::string_view text)
{
    std::vector<TargetId> targets;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        targets.emplace_back(std::string(text.substr(0, comma)));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return targets;
}

Rule readRoute(const RawLine &line, Reader &reader)
{
    return RouteRule { std::string(line.name.text), splitTargets(reader.text("targets")),
                       reader.yesOrNo("idempotent"), reader.yesOrNo("open") };
}

Rule readStore(const RawLine &line, Reader &reader)
{
    return StoreRule { std::string(line.name.text),
                       static_cast<std::uint32_t>(reader.number("loads", 1, "/s")),
                       static_cast<std::uint32_t>(reader.number("concurrent", 1)),
                       static_cast<std::uint32_t>(reader.number("adapters", 1)) };
}

Rule readPolicy(const RawLine &line, Reader &reader)
{
    PolicyRule it;
    it.name = std::string(line.name.text);
    it.queue = reader.choiceOr<QueueKind>(
            "queue", it.queue,
            { { "fair", QueueKind::Fair }, { "first-come", QueueKind::FirstCome } });
    it.placement =
            reader.choiceOr<PlacementKind>("placement", it.placement,
                                           { { "tier-aware", PlacementKind::TierAware },
                                             { "least-loaded", PlacementKind::LeastLoaded } });
    it.minIdleTime = reader.durationOr("idle", it.minIdleTime);
    it.baseShare = static_cast<std::uint32_t>(reader.numberOr("base-share", 1, it.baseShare));
    it.baseParts = static_cast<std::uint32_t>(reader.numberOr("base-parts", 1, it.baseParts));
    it.shards = static_cast<std::uint32_t>(reader.numberOr("shards", 1, it.shards));
    return it;
}

struct KindEntry
{
    std::string_view kind;
    Rule (*read)(const RawLine &, Reader &);
};

constexpr std::array<KindEntry, 10> Kinds { {
        { "class", readClass },
        { "organisation", readOrganisation },
        { "key", readKey },
        { "model", readModel },
        { "adapter", readAdapter },
        { "grant", readGrant },
        { "target", readTarget },
        { "route", readRoute },
        { "store", readStore },
        { "policy", readPolicy },
} };

/// A rule with its source line.
struct LocatedRule
{
    Rule rule;
    RawLine line;
};

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
        if (rule.prefix.starts_with("/v1"))
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

std::optional<LocatedRule> readLine(const RawLine &line, ErrorList &errors)
{
    const auto *const kind = std::find_if(Kinds.begin(), Kinds.end(), [&](const KindEntry &it) {
        return it.kind == line.kind.text;
    });
    if (kind == Kinds.end()) {
        std::vector<std::string_view> words;
        words.reserve(Kinds.size());
        for (const auto &it : Kinds)
            words.push_back(it.kind);
        errors.add(line.number, line.kind.column,
                   quoted(line.kind.text) + " is not a kind of rule"
                           + suggestion(line.kind.text, words));
        return std::nullopt;
    }
    if (line.name.text.empty()) {
        errors.add(line.number, line.kind.column, quoted(line.kind.text) + " needs a name");
        return std::nullopt;
    }
    if (line.comment.empty())
        errors.add(line.number, line.kind.column,
                   "the line needs a comment that names the requester, such as '# J. Hart'");
    Reader reader(line, errors);
    auto rule = kind->read(line, reader);
    reader.finish();
    return LocatedRule { std::move(rule), line };
}

} // namespace

RuleResult<ParsedRules> parseRules(std::string_view file, std::string_view text)
{
    ErrorList errors(file);
    std::vector<LocatedRule> located;
    ParsedRules parsed;
    std::size_t number = 0;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
        if (line.size() > MaxLineLength) {
            errors.add(number, MaxLineLength, "the line is longer than 4096 bytes");
            continue;
        }
        const auto raw = detail::splitLine(number, line);
        if (raw.kind.text.empty())
            continue;
        if (auto it = readLine(raw, errors)) {
            parsed.lines.push_back(detail::canonicalLine(raw));
            located.push_back(std::move(*it));
        }
    }
    RuleSetBuilder builder(parsed.rules, errors);
    for (const auto &it : located)
        builder.collect(it);
    ReferenceChecker checker(parsed.rules, errors);
    for (const auto &it : located)
        checker.check(it);
    if (!errors.isEmpty())
        return errors.take();
    return parsed;
}

std::string toString(const RuleError &error)
{
    return error.file + ':' + std::to_string(error.line) + ':' + std::to_string(error.column) + ": "
            + error.message;
}

} // namespace bluebell
