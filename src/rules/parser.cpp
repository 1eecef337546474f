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

constexpr std::size_t LongestLine = 4096;
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

/// Collects faults of one file.
class Faults
{
public:
    explicit Faults(std::string_view file) : m_file(file) { }

    void add(std::size_t line, std::size_t column, std::string message)
    {
        m_errors.push_back({ std::string(m_file), line, column, std::move(message) });
    }

    [[nodiscard]] bool isEmpty() const noexcept { return m_errors.empty(); }

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

std::string suggestion(std::string_view word, const std::vector<std::string_view> &candidates)
{
    const auto it = detail::nearestWord(word, candidates);
    return it.empty() ? std::string() : "; did you mean " + quoted(it) + "?";
}

/// Reads the attributes of one line and notes which were asked for.
class AttributeReader
{
public:
    AttributeReader(const RawLine &line, Faults &faults) : m_line(line), m_faults(faults)
    {
        checkDuplicates();
    }

    [[nodiscard]] std::string text(std::string_view name)
    {
        const auto *word = find(name);
        if (word == nullptr)
            missing(name);
        else if (word->text.empty())
            fault(*word, "the value of " + quoted(name) + " is empty");
        return word == nullptr ? std::string() : std::string(word->text);
    }

    [[nodiscard]] std::string textOr(std::string_view name, std::string_view fallback)
    {
        return has(name) ? text(name) : std::string(fallback);
    }

    /// Reads a whole number of at least `least`, with `suffix` behind it if that is not empty.
    [[nodiscard]] std::uint64_t number(std::string_view name, std::uint64_t least,
                                       std::string_view suffix = {})
    {
        const auto *word = find(name);
        if (word == nullptr) {
            missing(name);
            return least;
        }
        auto digits = word->text;
        if (!suffix.empty() && digits.ends_with(suffix))
            digits.remove_suffix(suffix.size());
        const auto value = parseNumber(digits);
        if (value && *value >= least && *value <= LargestNumber)
            return *value;
        fault(*word,
              quoted(word->text) + " is not a whole number of at least " + std::to_string(least)
                      + (suffix.empty() ? std::string()
                                        : ", written like 100" + std::string(suffix)));
        return least;
    }

    [[nodiscard]] std::uint64_t numberOr(std::string_view name, std::uint64_t least,
                                         std::uint64_t fallback)
    {
        return has(name) ? number(name, least) : fallback;
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
            missing(name);
            return choices.front().second;
        }
        std::vector<std::string_view> words;
        words.reserve(choices.size());
        for (const auto &[text, value] : choices) {
            if (text == word->text)
                return value;
            words.push_back(text);
        }
        fault(*word,
              quoted(word->text) + " does not fit " + quoted(name) + suggestion(word->text, words));
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
            missing(name);
            return {};
        }
        const auto it = parseEndpoint(word->text);
        if (it)
            return it.value();
        fault(*word, it.error().message);
        return {};
    }

    /// Reports the attributes that no call has asked for.
    void finish()
    {
        std::vector<std::string_view> known(m_asked.begin(), m_asked.end());
        for (const auto &[name, value] : m_line.attributes)
            if (!m_asked.contains(name.text))
                fault(name,
                      quoted(m_line.kind.text) + " has no attribute " + quoted(name.text)
                              + suggestion(name.text, known));
        for (const auto &word : m_line.strays)
            fault(word, quoted(word.text) + " is not written name=value");
    }

private:
    static constexpr auto LargestNumber =
            static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 4);

    void checkDuplicates()
    {
        std::set<std::string_view> seen;
        for (const auto &[name, value] : m_line.attributes)
            if (!seen.insert(name.text).second)
                fault(name, quoted(name.text) + " is given twice");
    }

    [[nodiscard]] bool has(std::string_view name) { return find(name) != nullptr; }

    [[nodiscard]] const Word *find(std::string_view name)
    {
        m_asked.insert(name);
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
            missing(name);
            return 0;
        }
        for (const auto &[suffix, factor] : units) {
            if (!word->text.ends_with(suffix))
                continue;
            const auto value = parseNumber(word->text.substr(0, word->text.size() - suffix.size()));
            if (value && *value > 0 && *value <= LargestNumber / factor)
                return *value * factor;
        }
        fault(*word, quoted(word->text) + " is not " + std::string(form));
        return 0;
    }

    void missing(std::string_view name)
    {
        fault(m_line.kind, quoted(m_line.kind.text) + " needs the attribute " + quoted(name));
    }

    void fault(const Word &word, std::string message)
    {
        m_faults.add(m_line.number, word.column, std::move(message));
    }

    const RawLine &m_line;
    Faults &m_faults;
    std::set<std::string_view> m_asked;
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
    it.idleFloor = reader.durationOr("idle", it.idleFloor);
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

/// A rule with the line that it came from.
struct PlacedRule
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

/// Puts rules into a RuleSet and reports duplicates.
class Collector
{
public:
    Collector(RuleSet &rules, Faults &faults) : m_rules(rules), m_faults(faults) { }

    void collect(const PlacedRule &placed)
    {
        m_line = &placed.line;
        std::visit([this](const auto &rule) { add(rule); }, placed.rule);
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
            fault("a key stands as the 64 lower-case hexadecimal digits of its SHA-256; "
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
            fault("this grant stands twice");
    }

    void add(const TargetRule &rule)
    {
        const auto address = toString(rule.address);
        if (rule.address.port != 0 && !m_addresses.insert(address).second)
            fault("the address " + address + " belongs to another target already");
        insert(m_rules.targets, rule.id, rule);
    }

    void add(const RouteRule &rule)
    {
        if (!rule.prefix.starts_with('/') || rule.prefix == "/")
            fault(quoted(rule.prefix) + " is not a path prefix such as /stock");
        if (rule.prefix.starts_with("/v1"))
            fault("/v1 is the system's own prefix");
        if (!m_rules.routes.emplace(rule.prefix, rule).second)
            fault(quoted(rule.prefix) + " stands twice");
    }

    void add(const StoreRule &rule)
    {
        if (m_rules.store.has_value())
            fault("only one 'store' rule is allowed");
        m_rules.store = rule;
    }

    void add(const PolicyRule &rule)
    {
        if (std::exchange(m_hasPolicy, true))
            fault("only one 'policy' rule is allowed");
        constexpr std::uint32_t LargestShare = 90;
        if (rule.baseShare > LargestShare)
            fault("base-share is a percentage from 1 to 90");
        m_rules.policy = rule;
    }

    template<typename Key, typename Value>
    void insert(std::map<Key, Value> &map, const Key &key, const Value &value)
    {
        if (!map.emplace(key, value).second)
            fault(std::string(m_line->kind.text) + ' ' + quoted(key.value()) + " stands twice");
    }

    void fault(std::string message)
    {
        m_faults.add(m_line->number, m_line->name.column, std::move(message));
    }

    RuleSet &m_rules;
    Faults &m_faults;
    const RawLine *m_line = nullptr;
    std::set<std::string> m_grants;
    std::set<std::string> m_addresses;
    bool m_hasPolicy = false;
};

/// Checks that every name which a rule refers to exists and that the sizes fit.
class ReferenceChecker
{
public:
    ReferenceChecker(const RuleSet &rules, Faults &faults) : m_rules(rules), m_faults(faults) { }

    void check(const PlacedRule &placed)
    {
        m_line = &placed.line;
        std::visit([this](const auto &rule) { checkRule(rule); }, placed.rule);
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
            fault("memory", "no target has enough memory for " + quoted(rule.id.value()));
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
            fault("adapter",
                  "adapter " + quoted(rule.adapter.value()) + " belongs to model "
                          + quoted(it->second.model.value()));
    }

    void checkRule(const RouteRule &rule)
    {
        for (const auto &target : rule.targets) {
            resolve(m_rules.targets, target, "target", "targets");
            const auto it = m_rules.targets.find(target);
            if (it != m_rules.targets.end() && it->second.kind != TargetKind::Service)
                fault("targets", quoted(target.value()) + " is not of kind=service");
        }
    }

    template<typename Map>
    void resolve(const Map &map, const typename Map::key_type &id, std::string_view what,
                 std::string_view attribute)
    {
        if (id.isEmpty() || map.contains(id))
            return;
        fault(attribute,
              "there is no " + std::string(what) + ' ' + quoted(id.value())
                      + suggestion(id.value(), namesOf(map)));
    }

    void fault(std::string_view attribute, std::string message)
    {
        std::size_t column = m_line->name.column;
        for (const auto &it : m_line->attributes)
            if (it.name.text == attribute)
                column = it.value.column;
        m_faults.add(m_line->number, column, std::move(message));
    }

    const RuleSet &m_rules;
    Faults &m_faults;
    const RawLine *m_line = nullptr;
};

std::optional<PlacedRule> readLine(const RawLine &line, Faults &faults)
{
    const auto *const kind = std::find_if(Kinds.begin(), Kinds.end(), [&](const KindEntry &it) {
        return it.kind == line.kind.text;
    });
    if (kind == Kinds.end()) {
        std::vector<std::string_view> words;
        words.reserve(Kinds.size());
        for (const auto &it : Kinds)
            words.push_back(it.kind);
        faults.add(line.number, line.kind.column,
                   quoted(line.kind.text) + " is not a kind of rule"
                           + suggestion(line.kind.text, words));
        return std::nullopt;
    }
    if (line.name.text.empty()) {
        faults.add(line.number, line.kind.column, quoted(line.kind.text) + " needs a name");
        return std::nullopt;
    }
    if (line.comment.empty())
        faults.add(line.number, line.kind.column,
                   "the line needs a comment that says who asked for it, such as '# J. Hart'");
    Reader reader(line, faults);
    auto rule = kind->read(line, reader);
    reader.finish();
    return PlacedRule { std::move(rule), line };
}

} // namespace

RuleResult<ParsedRules> parseRules(std::string_view file, std::string_view text)
{
    Faults faults(file);
    std::vector<PlacedRule> placed;
    ParsedRules parsed;
    std::size_t number = 0;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
        if (line.size() > LongestLine) {
            faults.add(number, LongestLine, "the line is longer than 4096 bytes");
            continue;
        }
        const auto raw = detail::splitLine(number, line);
        if (raw.kind.text.empty())
            continue;
        if (auto it = readLine(raw, faults)) {
            parsed.lines.push_back(detail::canonicalLine(raw));
            placed.push_back(std::move(*it));
        }
    }
    Collector collector(parsed.rules, faults);
    for (const auto &it : placed)
        collector.collect(it);
    ReferenceChecker checker(parsed.rules, faults);
    for (const auto &it : placed)
        checker.check(it);
    if (!faults.isEmpty())
        return faults.take();
    return parsed;
}

std::string toString(const RuleError &error)
{
    return error.file + ':' + std::to_string(error.line) + ':' + std::to_string(error.column) + ": "
            + error.message;
}

} // namespace bluebell
