#include "peer/relaycodec.h"

#include "peer/generated/digest.capnp.h"
#include "peer/statuscodec.h"
#include "peer/wirefields.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Header of a datagram. The body follows it.
struct Header
{
    char magic[2] = { 'B', 'R' };
    std::uint8_t version = 1;
    std::uint8_t kind = 0;
    std::uint8_t isPrimary = 0;
    std::uint8_t reserved[3] = {};
    /// Little-endian sequence of a report, also in the digest that confirms it.
    std::uint8_t sequence[8] = {};
};
static_assert(sizeof(Header) == 16);

constexpr std::uint8_t KindReport = 1;
constexpr std::uint8_t KindDigest = 2;
constexpr std::uint8_t KindSummary = 3;
constexpr int BitsPerByte = 8;

std::string headerBytes(std::uint8_t kind, bool isPrimary, std::uint64_t sequence)
{
    Header header;
    header.kind = kind;
    header.isPrimary = isPrimary ? 1 : 0;
    for (auto &it : header.sequence) {
        it = static_cast<std::uint8_t>(sequence);
        sequence >>= BitsPerByte;
    }
    return { reinterpret_cast<const char *>(&header), sizeof(header) };
}

std::uint64_t sequenceOf(const Header &header)
{
    std::uint64_t sequence = 0;
    for (int n = sizeof(header.sequence) - 1; n >= 0; --n)
        sequence = sequence << BitsPerByte | header.sequence[n];
    return sequence;
}

template<typename Tag>
void write(const std::vector<Id<Tag>> &ids, capnp::List<capnp::Text>::Builder out)
{
    for (unsigned n = 0; n < ids.size(); ++n)
        out.set(n, ids[n].value());
}

std::vector<VmId> readVms(capnp::List<capnp::Text>::Reader in)
{
    std::vector<VmId> vms;
    for (const auto it : in)
        vms.emplace_back(detail::text(it));
    return vms;
}

template<typename Counts>
void write(const Counts &counts, capnp::List<wire::DigestCount>::Builder out)
{
    unsigned n = 0;
    for (const auto &[id, count] : counts) {
        out[n].setName(id.value());
        out[n++].setCount(count);
    }
}

void write(const RelayCounts &counts, wire::DigestCounts::Builder out)
{
    write(counts.inFlight, out.initInFlight(static_cast<unsigned>(counts.inFlight.size())));
    write(counts.admitted, out.initAdmitted(static_cast<unsigned>(counts.admitted.size())));
}

RelayCounts read(wire::DigestCounts::Reader in)
{
    RelayCounts counts;
    for (const auto it : in.getInFlight())
        counts.inFlight[TargetId(detail::text(it.getName()))] =
                static_cast<std::uint32_t>(it.getCount());
    for (const auto it : in.getAdmitted())
        counts.admitted[OrganisationId(detail::text(it.getName()))] = it.getCount();
    return counts;
}

Endpoint endpointOf(capnp::Text::Reader in)
{
    const auto endpoint = parseEndpoint(detail::text(in));
    return endpoint ? endpoint.value() : Endpoint();
}

void write(const std::string &key, const std::optional<TargetRow> &row,
           wire::DigestTarget::Builder out)
{
    using Kind = wire::DigestTarget::Kind;
    out.setKey(key);
    if (!row || !row->entry) {
        out.setKind(row ? Kind::MALFORMED : Kind::REMOVED);
        return;
    }
    const auto &it = *row->entry;
    out.setKind(Kind::ENTRY);
    out.setService(it.service.value());
    out.setAddress(toString(it.address));
    out.setDataCentre(it.dataCentre.value());
    out.setSlots(it.slots);
    out.setIsDraining(it.isDraining);
    out.setIsEngine(it.engine.has_value());
    out.setStartTimeMs(it.startTimeMs);
    out.setHeartbeat(it.heartbeat);
    out.setColdMs(detail::toWire(it.coldTime));
    out.setColdLeftMs(detail::toWire(row->coldLeft));
}

std::optional<TargetRow> read(wire::DigestTarget::Reader in)
{
    if (in.getKind() == wire::DigestTarget::Kind::REMOVED)
        return std::nullopt;
    if (in.getKind() != wire::DigestTarget::Kind::ENTRY)
        return TargetRow {};
    TargetEntry it;
    it.id = TargetId(detail::text(in.getKey()));
    it.service = ServiceId(detail::text(in.getService()));
    it.address = endpointOf(in.getAddress());
    it.dataCentre = DataCentreId(detail::text(in.getDataCentre()));
    it.slots = in.getSlots();
    it.isDraining = in.getIsDraining();
    it.startTimeMs = in.getStartTimeMs();
    it.heartbeat = in.getHeartbeat();
    it.coldTime = detail::fromWire(in.getColdMs());
    if (in.getIsEngine())
        it.engine = EngineState();
    return TargetRow { std::move(it), detail::fromWire(in.getColdLeftMs()) };
}

void write(const VmId &vm, const std::optional<FleetMember> &row, wire::DigestMember::Builder out)
{
    out.setVm(vm.value());
    out.setIsRemoved(!row);
    if (!row)
        return;
    out.setIncarnation(row->incarnation.value());
    out.setDataCentre(row->dataCentre.value());
    out.setCallers(toString(row->callers));
    out.setPeers(toString(row->peers));
    out.setControl(toString(row->control));
    if (row->supportsRelays())
        out.setRelay(toString(row->relay));
    out.setCapacity(row->capacity);
}

std::optional<FleetMember> read(wire::DigestMember::Reader in)
{
    if (in.getIsRemoved())
        return std::nullopt;
    FleetMember it;
    it.vm = VmId(detail::text(in.getVm()));
    it.incarnation = IncarnationId(detail::text(in.getIncarnation()));
    it.dataCentre = DataCentreId(detail::text(in.getDataCentre()));
    it.callers = endpointOf(in.getCallers());
    it.peers = endpointOf(in.getPeers());
    it.control = endpointOf(in.getControl());
    it.relay = endpointOf(in.getRelay());
    it.capacity = in.getCapacity();
    return it;
}

void write(const FleetDigest &digest, wire::Digest::Builder out)
{
    detail::writeStatus(digest.relay, out.initRelay());
    if (digest.leader) {
        auto leader = out.initLeader();
        leader.setVm(digest.leader->vm.value());
        leader.setIncarnation(digest.leader->incarnation.value());
        leader.setEpoch(digest.leader->epoch);
        leader.setAgeMs(detail::toWire(digest.leader->age));
    }
    auto placement = out.initPlacement();
    placement.setLeader(digest.placement.leader.value());
    placement.setEpoch(digest.placement.epoch);
    placement.setBase(digest.placement.update.base);
    placement.setNumber(digest.placement.update.number);
    const auto &changed = digest.placement.update.changed;
    detail::writeResidents(changed, placement.initResidents(static_cast<unsigned>(changed.size())));
    if (digest.counts)
        write(*digest.counts, out.initCounts());
    if (digest.countsAge)
        out.setCountsAgeMs(detail::toWire(*digest.countsAge + milliseconds(1)));
    write(digest.unavailable,
          out.initUnavailable(static_cast<unsigned>(digest.unavailable.size())));
    out.setTargetsBase(digest.targets.base);
    out.setTargetsNumber(digest.targets.number);
    auto targets = out.initTargets(static_cast<unsigned>(digest.targets.rows.size()));
    unsigned n = 0;
    for (const auto &[key, row] : digest.targets.rows)
        write(key, row, targets[n++]);
    out.setHasInFlight(digest.hasInFlight);
    out.setTargetsChecksum(digest.targets.checksum);
    out.setMembersChecksum(digest.members.checksum);
    out.setMembersBase(digest.members.base);
    out.setMembersNumber(digest.members.number);
    auto members = out.initMembers(static_cast<unsigned>(digest.members.rows.size()));
    n = 0;
    for (const auto &[vm, row] : digest.members.rows)
        write(vm, row, members[n++]);
}

FleetDigest read(wire::Digest::Reader in)
{
    FleetDigest digest;
    digest.relay = detail::readStatus(in.getRelay());
    if (in.hasLeader()) {
        const auto leader = in.getLeader();
        digest.leader = LeaderInfo { VmId(detail::text(leader.getVm())),
                                     IncarnationId(detail::text(leader.getIncarnation())),
                                     leader.getEpoch(), milliseconds(leader.getAgeMs()) };
    }
    const auto placement = in.getPlacement();
    digest.placement.leader = IncarnationId(detail::text(placement.getLeader()));
    digest.placement.epoch = placement.getEpoch();
    digest.placement.update = { placement.getBase(), placement.getNumber(),
                                detail::readResidents(placement.getResidents()) };
    if (in.hasCounts())
        digest.counts = read(in.getCounts());
    if (in.getCountsAgeMs() > 0)
        digest.countsAge = milliseconds(in.getCountsAgeMs() - 1);
    digest.unavailable = readVms(in.getUnavailable());
    digest.targets.base = in.getTargetsBase();
    digest.targets.number = in.getTargetsNumber();
    for (const auto it : in.getTargets())
        digest.targets.rows.emplace(detail::text(it.getKey()), read(it));
    digest.hasInFlight = in.getHasInFlight();
    digest.targets.checksum = in.getTargetsChecksum();
    digest.members.checksum = in.getMembersChecksum();
    digest.members.base = in.getMembersBase();
    digest.members.number = in.getMembersNumber();
    for (const auto it : in.getMembers())
        digest.members.rows.emplace(VmId(detail::text(it.getVm())), read(it));
    return digest;
}

GroupSummary read(wire::Summary::Reader in)
{
    GroupSummary it;
    it.relay = VmId(detail::text(in.getRelay()));
    it.incarnation = IncarnationId(detail::text(in.getIncarnation()));
    it.countsId = in.getCountsId();
    it.countsAge = detail::fromWire(in.getCountsAgeMs());
    it.configVersion = in.getConfigVersion();
    it.registryVersion = in.getRegistryVersion();
    it.timeSinceStoreReply = milliseconds(in.getStoreSilenceMs());
    it.isReady = in.getIsReady();
    it.uptime = detail::fromWire(in.getUptimeMs());
    it.counts = read(in.getCounts());
    it.hasInFlight = in.getHasInFlight();
    it.knowsAvailability = in.getKnowsAvailability();
    it.unavailable = readVms(in.getUnavailable());
    it.quarantine = detail::readQuarantine(in.getQuarantine());
    it.evacuations = detail::readEvacuations(in.getEvacuations());
    return it;
}

std::string bytesOf(capnp::MessageBuilder &message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return { reinterpret_cast<const char *>(bytes.begin()), bytes.size() };
}

Error malformed(std::string_view cause)
{
    return makeError(ErrorCode::InvalidArgument, "malformed datagram: " + std::string(cause));
}

/// Decodes a Cap'n Proto message with a root of type Root.
template<typename Root, typename Read>
auto decode(std::string_view bytes, Read readRoot)
        -> Result<decltype(readRoot(std::declval<typename Root::Reader>()))>
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
        return malformed("wrong length");
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    try {
        capnp::FlatArrayMessageReader reader(words);
        return readRoot(reader.getRoot<Root>());
    } catch (const kj::Exception &e) {
        return malformed(e.getDescription().cStr());
    }
}

} // namespace

std::string encode(const FleetDigest &digest)
{
    capnp::MallocMessageBuilder message;
    write(digest, message.initRoot<wire::Digest>());
    return bytesOf(message);
}

Result<FleetDigest> decodeDigest(std::string_view body)
{
    return decode<wire::Digest>(body, [](wire::Digest::Reader in) { return read(in); });
}

std::string encode(const ReportDatagram &report)
{
    return headerBytes(KindReport, report.isPrimary, report.sequence) + encode(report.status);
}

std::string encode(const GroupSummary &summary)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::Summary>();
    out.setRelay(summary.relay.value());
    out.setIncarnation(summary.incarnation.value());
    out.setCountsId(summary.countsId);
    out.setCountsAgeMs(static_cast<std::uint64_t>(toMilliseconds(summary.countsAge).count()));
    out.setConfigVersion(summary.configVersion);
    out.setRegistryVersion(summary.registryVersion);
    out.setStoreSilenceMs(detail::toWire(summary.timeSinceStoreReply));
    out.setIsReady(summary.isReady);
    out.setUptimeMs(static_cast<std::uint64_t>(toMilliseconds(summary.uptime).count()));
    write(summary.counts, out.initCounts());
    out.setHasInFlight(summary.hasInFlight);
    out.setKnowsAvailability(summary.knowsAvailability);
    write(summary.unavailable,
          out.initUnavailable(static_cast<unsigned>(summary.unavailable.size())));
    detail::writeQuarantine(summary.quarantine, out.initQuarantine());
    detail::writeEvacuations(summary.evacuations, out.initEvacuations());
    return headerBytes(KindSummary, false, 0) + bytesOf(message);
}

std::string digestDatagram(std::uint64_t countedReport, std::string_view body)
{
    return headerBytes(KindDigest, false, countedReport) + std::string(body);
}

Result<RelayDatagram> decodeRelayDatagram(std::string_view bytes)
{
    Header header;
    if (bytes.size() < sizeof(header))
        return malformed("too short");
    const Header expected;
    std::memcpy(&header, bytes.data(), sizeof(header));
    if (std::memcmp(header.magic, expected.magic, sizeof(header.magic)) != 0)
        return malformed("wrong magic number");
    const auto body = bytes.substr(sizeof(header));
    if (header.version != expected.version || header.kind < KindReport || header.kind > KindSummary)
        return RelayDatagram(UnknownDatagram { header.version, header.kind });
    if (header.kind == KindReport) {
        BOOST_OUTCOME_TRY(auto status, decodeStatus(body));
        return RelayDatagram(
                ReportDatagram { sequenceOf(header), header.isPrimary != 0, std::move(status) });
    }
    if (header.kind == KindDigest) {
        BOOST_OUTCOME_TRY(auto digest, decodeDigest(body));
        return RelayDatagram(DigestDatagram { sequenceOf(header), std::move(digest) });
    }
    BOOST_OUTCOME_TRY(auto summary, decode<wire::Summary>(body, [](wire::Summary::Reader in) {
                          return read(in);
                      }));
    return RelayDatagram(std::move(summary));
}

} // namespace bluebell
