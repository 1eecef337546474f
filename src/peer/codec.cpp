#include "peer/codec.h"

#include <algorithm>
#include <utility>

namespace bluebell::detail {
namespace {

/// Encodes an absent duration.
constexpr std::int64_t NoDuration = -1;

std::string text(capnp::Text::Reader in)
{
    return { in.cStr(), in.size() };
}

template<typename TagId>
TagId toId(capnp::Text::Reader in)
{
    return TagId(text(in));
}

std::int64_t toWire(const std::optional<Duration> &d)
{
    return d ? std::max<std::int64_t>(d->count(), 0) : NoDuration;
}

std::optional<Duration> toDuration(std::int64_t ns)
{
    if (ns < 0)
        return std::nullopt;
    return Duration(ns);
}

/// Writes the elements of `range` into a list that `init` creates with the given size.
template<typename Range, typename Init, typename Write>
void writeList(const Range &range, Init init, Write write)
{
    auto list = init(static_cast<unsigned>(range.size()));
    unsigned n = 0;
    for (const auto &it : range)
        write(list, n++, it);
}

template<typename Range, typename Init>
void writeTexts(const Range &range, Init init)
{
    writeList(range, init, [](auto &list, unsigned n, const auto &it) {
        if constexpr (requires { it.value(); })
            list.set(n, it.value());
        else
            list.set(n, it);
    });
}

template<typename T, typename List>
std::vector<T> readTexts(List list)
{
    std::vector<T> texts;
    texts.reserve(list.size());
    for (auto it : list)
        texts.push_back(T(text(it)));
    return texts;
}

void write(const Endpoint &it, wire::Address::Builder out)
{
    out.setHost(it.host);
    out.setPort(it.port);
}

Endpoint read(wire::Address::Reader in)
{
    return { text(in.getHost()), in.getPort() };
}

void write(const Member &it, wire::Member::Builder out)
{
    out.setVm(it.vm.value());
    out.setIncarnation(it.incarnation.value());
    write(it.address, out.initAddress());
}

Member read(wire::Member::Reader in)
{
    return { toId<VmId>(in.getVm()), toId<IncarnationId>(in.getIncarnation()),
             read(in.getAddress()) };
}

void write(const EntryAddress &it, wire::Entry::Builder out)
{
    out.setVm(it.vm.value());
    write(it.address, out.initAddress());
    out.setIsLeaving(it.isLeaving);
}

EntryAddress read(wire::Entry::Reader in)
{
    return { toId<VmId>(in.getVm()), read(in.getAddress()), in.getIsLeaving() };
}

void write(const ConfigDelta &it, wire::Delta::Builder out)
{
    out.setVersion(it.version);
    writeTexts(it.added, [&](unsigned n) { return out.initAdded(n); });
    writeTexts(it.removed, [&](unsigned n) { return out.initRemoved(n); });
    out.setAuthor(it.author);
    out.setChange(it.change.value());
}

ConfigDelta read(wire::Delta::Reader in)
{
    return { in.getVersion(), readTexts<std::string>(in.getAdded()),
             readTexts<std::string>(in.getRemoved()), text(in.getAuthor()),
             toId<ChangeId>(in.getChange()) };
}

void write(const GrantReport &it, wire::GrantReport::Builder out)
{
    out.setId(it.id.value());
    out.setAdmitted(it.admitted);
    out.setConsumed(it.consumed);
    out.setRefunded(it.refunded);
    out.setIsClosed(it.isClosed);
}

GrantReport read(wire::GrantReport::Reader in)
{
    return { toId<GrantId>(in.getId()), in.getAdmitted(), in.getConsumed(), in.getRefunded(),
             in.getIsClosed() };
}

/// Serialises the request types.
struct QuestionWriter
{
    wire::Question::Builder out;

    void operator()(const SyncQuestion &it)
    {
        auto sync = out.initSync();
        sync.setVm(it.vm.value());
        sync.setVersion(it.version);
        sync.setWithdrawnChecksum(it.withdrawnChecksum);
        sync.setWantsDirectory(it.wantsDirectory);
        sync.setWantsContacts(it.wantsContacts);
        if (it.entry)
            write(*it.entry, sync.initEntry());
    }

    void operator()(const AcquireQuestion &it)
    {
        auto acquire = out.initAcquire();
        acquire.setOrganisation(it.organisation.value());
        acquire.setGrant(it.question.id.value());
        acquire.setLeast(it.question.least);
        acquire.setWanted(it.question.wanted);
        acquire.setSource(it.source);
        writeList(
                it.reports, [&](unsigned n) { return acquire.initReports(n); },
                [](auto &list, unsigned n, const auto &r) { write(r, list[n]); });
    }

    void operator()(const WantQuestion &it)
    {
        auto want = out.initWant();
        want.setReplica(toString(it.key));
        want.setVm(it.vm.value());
        want.setLongestWait(it.longestWait.count());
        writeTexts(it.knownResident, [&](unsigned n) { return want.initKnownResident(n); });
        writeList(
                it.demand, [&](unsigned n) { return want.initDemand(n); },
                [](auto &list, unsigned n, const Demand &demand) {
                    auto item = list[n];
                    item.setOrganisation(demand.organisation.value());
                    item.setWaiting(demand.waiting);
                    item.setRunning(demand.running);
                    item.setOldestWait(demand.oldestWait.count());
                });
    }

    void operator()(const WithdrawQuestion &it)
    {
        auto withdraw = out.initWithdraw();
        withdraw.setDigest(it.digest.value());
        withdraw.setSpreads(it.spreads);
    }

    void operator()(const StatusQuestion & /*it*/) { out.setStatus(); }
    void operator()(const DrainQuestion & /*it*/) { out.setDrain(); }
};

/// Serialises the response types.
struct AnswerWriter
{
    wire::Answer::Builder out;

    void operator()(const SyncAnswer &it)
    {
        auto sync = out.initSync();
        sync.setVm(it.vm.value());
        sync.setVersion(it.version);
        sync.setHeadAge(toWire(it.age));
        if (it.update)
            writeUpdate(*it.update, sync.initUpdate());
        writeTexts(it.withdrawn, [&](unsigned n) { return sync.initWithdrawn(n); });
        writeTexts(it.members, [&](unsigned n) { return sync.initMembers(n); });
        writeList(
                it.contacts, [&](unsigned n) { return sync.initContacts(n); },
                [](auto &list, unsigned n, const MemberContact &contact) {
                    auto item = list[n];
                    item.setVm(contact.vm.value());
                    item.setAge(contact.age.count());
                });
        writeList(
                it.entries, [&](unsigned n) { return sync.initEntries(n); },
                [](auto &list, unsigned n, const auto &entry) { write(entry, list[n]); });
        writeList(
                it.roles, [&](unsigned n) { return sync.initRoles(n); },
                [](auto &list, unsigned n, const RoleRow &row) {
                    auto item = list[n];
                    item.setRole(row.role.value());
                    write(row.holder, item.initHolder());
                    item.setEpoch(row.epoch);
                });
    }

    static void writeUpdate(const ConfigUpdate &update, wire::SyncAnswer::Update::Builder to)
    {
        if (const auto *snapshot = std::get_if<ConfigSnapshot>(&update)) {
            writeTexts(snapshot->lines, [&](unsigned n) { return to.initSnapshot(n); });
            return;
        }
        writeList(
                std::get<std::vector<ConfigDelta>>(update),
                [&](unsigned n) { return to.initDeltas(n); },
                [](auto &list, unsigned n, const auto &delta) { write(delta, list[n]); });
    }

    void operator()(const AcquireAnswer &it)
    {
        auto acquire = out.initAcquire();
        if (const auto *granted = std::get_if<Granted>(&it)) {
            auto group = acquire.initGranted();
            group.setId(granted->id.value());
            group.setAmount(granted->amount);
            group.setValidity(granted->validity.count());
        } else if (const auto *refused = std::get_if<RateRefused>(&it)) {
            acquire.initRefused().setRetryAfter(toWire(refused->retryAfter));
        } else if (std::holds_alternative<ReportsAccepted>(it)) {
            acquire.setNoted();
        } else {
            acquire.setNotHome();
        }
    }

    void operator()(const WantAnswer &it)
    {
        auto want = out.initWant();
        want.setIsOwner(it.isOwner);
        want.setEstimate(toWire(it.estimate));
        writeTexts(it.loading, [&](unsigned n) { return want.initLoading(n); });
        writeList(
                it.resident, [&](unsigned n) { return want.initResident(n); },
                [](auto &list, unsigned n, const ResidentTarget &target) {
                    auto item = list[n];
                    item.setTarget(target.target.value());
                    item.setLoad(target.load);
                    item.setSlots(target.slots);
                });
    }

    void operator()(const WithdrawAnswer &it)
    {
        auto withdraw = out.initWithdraw();
        writeTexts(it.acknowledged, [&](unsigned n) { return withdraw.initAcknowledged(n); });
        writeTexts(it.missing, [&](unsigned n) { return withdraw.initMissing(n); });
    }

    void operator()(const StatusAnswer &it)
    {
        auto status = out.initStatus();
        writeList(
                it.rows, [&](unsigned n) { return status.initRows(n); },
                [](auto &list, unsigned n, const StatusRow &row) {
                    auto item = list[n];
                    item.setKind(row.kind);
                    item.setName(row.name);
                    item.setDetail(row.detail);
                });
    }

    void operator()(const DrainAnswer & /*it*/) { out.setDrain(); }

    void operator()(const Error &it)
    {
        auto error = out.initError();
        error.setCode(static_cast<std::uint8_t>(it.code));
        error.setMessage(it.message);
        error.setExecution(static_cast<std::uint8_t>(it.execution));
    }
};

SyncQuestion readSync(wire::SyncQuestion::Reader in)
{
    SyncQuestion it;
    it.vm = toId<VmId>(in.getVm());
    it.version = in.getVersion();
    it.withdrawnChecksum = in.getWithdrawnChecksum();
    it.wantsDirectory = in.getWantsDirectory();
    it.wantsContacts = in.getWantsContacts();
    if (in.hasEntry())
        it.entry = read(in.getEntry());
    return it;
}

AcquireQuestion readAcquire(wire::AcquireQuestion::Reader in)
{
    AcquireQuestion it;
    it.organisation = toId<OrganisationId>(in.getOrganisation());
    it.question = { toId<GrantId>(in.getGrant()), in.getLeast(), in.getWanted() };
    for (auto report : in.getReports())
        it.reports.push_back(read(report));
    it.source = in.getSource();
    return it;
}

WantQuestion readWant(wire::WantQuestion::Reader in)
{
    WantQuestion it;
    it.key = parseReplicaKey(text(in.getReplica()));
    it.vm = toId<VmId>(in.getVm());
    it.longestWait = Duration(in.getLongestWait());
    for (auto name : in.getKnownResident())
        it.knownResident.insert(toId<TargetId>(name));
    for (auto demand : in.getDemand())
        it.demand.push_back({ it.vm, toId<OrganisationId>(demand.getOrganisation()),
                              demand.getWaiting(), demand.getRunning(),
                              Duration(demand.getOldestWait()) });
    return it;
}

std::optional<ConfigUpdate> readUpdate(wire::SyncAnswer::Update::Reader in, ConfigVersion version)
{
    if (in.isDeltas()) {
        std::vector<ConfigDelta> deltas;
        for (auto delta : in.getDeltas())
            deltas.push_back(read(delta));
        return deltas;
    }
    if (!in.isSnapshot())
        return std::nullopt;
    ConfigSnapshot snapshot;
    snapshot.version = version;
    for (auto line : in.getSnapshot())
        snapshot.lines.insert(text(line));
    return snapshot;
}

SyncAnswer readSync(wire::SyncAnswer::Reader in)
{
    SyncAnswer it;
    it.vm = toId<VmId>(in.getVm());
    it.version = in.getVersion();
    it.age = toDuration(in.getHeadAge());
    it.update = readUpdate(in.getUpdate(), it.version);
    it.withdrawn = readTexts<KeyDigest>(in.getWithdrawn());
    it.members = readTexts<VmId>(in.getMembers());
    for (auto contact : in.getContacts())
        it.contacts.push_back({ toId<VmId>(contact.getVm()), Duration(contact.getAge()) });
    for (auto entry : in.getEntries())
        it.entries.push_back(read(entry));
    for (auto role : in.getRoles())
        it.roles.push_back(
                { toId<RoleId>(role.getRole()), read(role.getHolder()), role.getEpoch(), 0, {} });
    return it;
}

AcquireAnswer readAcquire(wire::AcquireAnswer::Reader in)
{
    if (in.isGranted()) {
        auto granted = in.getGranted();
        return Granted { toId<GrantId>(granted.getId()), granted.getAmount(),
                         Duration(granted.getValidity()) };
    }
    if (in.isRefused())
        return RateRefused { toDuration(in.getRefused().getRetryAfter()) };
    if (in.isNoted())
        return ReportsAccepted {};
    return NotHome {};
}

WantAnswer readWant(wire::WantAnswer::Reader in)
{
    WantAnswer it;
    it.isOwner = in.getIsOwner();
    it.estimate = toDuration(in.getEstimate());
    it.loading = readTexts<TargetId>(in.getLoading());
    for (auto target : in.getResident())
        it.resident.push_back(
                { toId<TargetId>(target.getTarget()), target.getLoad(), target.getSlots() });
    return it;
}

StatusAnswer readStatus(wire::StatusAnswer::Reader in)
{
    StatusAnswer it;
    for (auto row : in.getRows())
        it.rows.push_back({ text(row.getKind()), text(row.getName()), text(row.getDetail()) });
    return it;
}

Error readError(wire::Error::Reader in)
{
    const auto code =
            std::min<std::uint8_t>(in.getCode(), static_cast<std::uint8_t>(ErrorCode::Internal));
    const auto execution = std::min<std::uint8_t>(
            in.getExecution(), static_cast<std::uint8_t>(Execution::OutcomeUnknown));
    return { static_cast<ErrorCode>(code), text(in.getMessage()), static_cast<Execution>(execution),
             std::nullopt };
}

} // namespace

void encode(const PeerQuestion &question, wire::Question::Builder out)
{
    std::visit(QuestionWriter { out }, question);
}

void encode(const PeerAnswer &answer, wire::Answer::Builder out)
{
    std::visit(AnswerWriter { out }, answer);
}

Result<PeerQuestion> decode(wire::Question::Reader in)
{
    switch (in.which()) {
    case wire::Question::SYNC:
        return PeerQuestion(readSync(in.getSync()));
    case wire::Question::ACQUIRE:
        return PeerQuestion(readAcquire(in.getAcquire()));
    case wire::Question::WANT:
        return PeerQuestion(readWant(in.getWant()));
    case wire::Question::WITHDRAW:
        return PeerQuestion(WithdrawQuestion { toId<KeyDigest>(in.getWithdraw().getDigest()),
                                               in.getWithdraw().getSpreads() });
    case wire::Question::STATUS:
        return PeerQuestion(StatusQuestion {});
    case wire::Question::DRAIN:
        return PeerQuestion(DrainQuestion {});
    }
    return makeError(ErrorCode::InvalidArgument, "the question is of an unknown kind");
}

PeerAnswer decode(wire::Answer::Reader in)
{
    switch (in.which()) {
    case wire::Answer::SYNC:
        return readSync(in.getSync());
    case wire::Answer::ACQUIRE:
        return readAcquire(in.getAcquire());
    case wire::Answer::WANT:
        return readWant(in.getWant());
    case wire::Answer::WITHDRAW:
        return WithdrawAnswer { readTexts<VmId>(in.getWithdraw().getAcknowledged()),
                                readTexts<VmId>(in.getWithdraw().getMissing()) };
    case wire::Answer::STATUS:
        return readStatus(in.getStatus());
    case wire::Answer::DRAIN:
        return DrainAnswer {};
    case wire::Answer::ERROR:
        return readError(in.getError());
    }
    return makeError(ErrorCode::InvalidArgument, "the answer is of an unknown kind");
}

} // namespace bluebell::detail
