#include "rules/rulereader.h"

#include "rules/attributereader.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::detail {
namespace {

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

} // namespace

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

} // namespace bluebell::detail
