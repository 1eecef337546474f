#include "peer/relaycodec.h"
#include "peer/statuscodec.h"

#include <gtest/gtest.h>

#include <random>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

DaemonStatus status()
{
    DaemonStatus it;
    it.vm = VmId("vm-1");
    it.incarnation = IncarnationId("i1");
    it.uptime = 7s;
    it.isReady = true;
    it.configVersion = 12;
    it.inFlight.push_back({ TargetId("t1"), {}, 3 });
    it.rates.push_back({ OrganisationId("org"), 500, 200, 480 });
    it.evacuations = { 31, { DataCentreId("derby") }, { { DataCentreId("leicester"), 2s } } };
    return it;
}

FleetDigest digest()
{
    FleetDigest it;
    it.relay = status();
    it.leader = LeaderInfo { VmId("vm-9"), IncarnationId("i9"), 4, 150ms };
    it.placement = {
        IncarnationId("i9"),
        4,
        { 5,
          8,
          { { TargetId("t1"), { { ModelId("m"), {} }, { ModelId("m"), AdapterId("a1") } } } } }
    };
    it.counts = RelayCounts { { { TargetId("t1"), 9 } }, { { OrganisationId("org"), 1234 } } };
    it.unavailable = { VmId("vm-3") };
    TargetEntry entry;
    entry.id = TargetId("t1");
    entry.service = ServiceId("engines");
    entry.address = { "10.0.0.1", 80 };
    entry.dataCentre = DataCentreId("leicester");
    entry.slots = 12;
    entry.isDraining = true;
    entry.startTimeMs = 99;
    entry.coldTime = 1500ms;
    entry.engine = EngineState();
    it.targets = {
        3, 6, { { "t1", TargetRow { entry, 900ms } }, { "t2", TargetRow {} }, { "t3", {} } }, 77
    };
    FleetMember member { VmId("vm-2"),          IncarnationId("i2"),
                         DataCentreId("derby"), { "10.0.0.2", 1 },
                         { "10.0.0.2", 2 },     { "10.0.0.2", 3 },
                         { "10.0.0.2", 4 },     250 };
    it.members = { 1, 2, { { VmId("vm-2"), member }, { VmId("vm-4"), std::nullopt } }, 78 };
    return it;
}

} // namespace

TEST(RelayCodec, RoundTripsAReport)
{
    const auto decoded = decodeRelayDatagram(encode(ReportDatagram { 42, true, status() }));
    ASSERT_TRUE(decoded);
    const auto &report = std::get<ReportDatagram>(decoded.value());
    EXPECT_EQ(report.sequence, 42U);
    EXPECT_TRUE(report.isPrimary);
    EXPECT_EQ(report.status.rates.at(0).acknowledged, 480);
    const auto &evacuations = report.status.evacuations;
    EXPECT_EQ(evacuations.version, 31U);
    EXPECT_EQ(evacuations.listed, status().evacuations.listed);
    EXPECT_EQ(evacuations.kept, status().evacuations.kept);
}

TEST(RelayCodec, RoundTripsADigest)
{
    const auto sent = digest();
    const auto decoded = decodeRelayDatagram(digestDatagram(41, encode(sent)));
    ASSERT_TRUE(decoded);
    const auto &datagram = std::get<DigestDatagram>(decoded.value());
    EXPECT_EQ(datagram.countedReport, 41U);
    const auto &it = datagram.digest;
    EXPECT_EQ(it.targets.rows.at("t1")->coldLeft, 900ms);
    EXPECT_EQ(it.targets.rows.at("t1")->entry->coldTime, 1500ms);
    ASSERT_TRUE(it.leader);
    EXPECT_EQ(it.leader->epoch, 4U);
    EXPECT_EQ(it.leader->age, 150ms);
    EXPECT_EQ(it.placement.update.changed, sent.placement.update.changed);
    ASSERT_TRUE(it.counts);
    EXPECT_EQ(it.counts->inFlight, sent.counts->inFlight);
    EXPECT_EQ(it.counts->admitted, sent.counts->admitted);
    EXPECT_EQ(it.unavailable, sent.unavailable);
    EXPECT_EQ(it.targets.rows, sent.targets.rows);
    EXPECT_EQ(it.targets.checksum, 77U);
    EXPECT_EQ(it.members.rows, sent.members.rows);
    EXPECT_EQ(it.members.base, 1U);
}

TEST(RelayCodec, RoundTripsASummary)
{
    GroupSummary sent;
    sent.relay = VmId("vm-1");
    sent.incarnation = IncarnationId("i1");
    sent.countsId = 3;
    sent.countsAge = 2s;
    sent.isReady = true;
    sent.knowsAvailability = true;
    sent.unavailable = { VmId("vm-8") };
    sent.counts.admitted[OrganisationId("org")] = -5;
    const auto decoded = decodeRelayDatagram(encode(sent));
    ASSERT_TRUE(decoded);
    const auto &it = std::get<GroupSummary>(decoded.value());
    EXPECT_EQ(it.countsId, 3U);
    EXPECT_EQ(it.countsAge, 2s);
    EXPECT_TRUE(it.knowsAvailability);
    EXPECT_EQ(it.unavailable, sent.unavailable);
    EXPECT_EQ(it.counts.admitted, sent.counts.admitted);
}

/// During a rolling replacement a later build may send kinds and versions that this one lacks.
TEST(RelayCodec, LeavesOutUnknownVersionsAndKinds)
{
    auto bytes = encode(ReportDatagram { 1, false, status() });
    bytes[2] = 2;
    EXPECT_EQ(std::get<UnknownDatagram>(decodeRelayDatagram(bytes).value()).version, 2);
    bytes[2] = 1;
    bytes[3] = 9;
    EXPECT_EQ(std::get<UnknownDatagram>(decodeRelayDatagram(bytes).value()).kind, 9);
}

/// A status of the build without relays lacks the newer fields, and is no report.
TEST(RelayCodec, AStatusOfTheFormerBuildIsNoReport)
{
    EXPECT_FALSE(decodeRelayDatagram(encode(status())));
}

/// One malformed datagram must cost no more than itself.
TEST(RelayCodec, RejectsDamagedDatagrams)
{
    std::mt19937 random(1);
    const std::vector datagrams { encode(ReportDatagram { 42, true, status() }),
                                  digestDatagram(41, encode(digest())), encode(GroupSummary()) };
    for (int n = 0; n < 20000; ++n) {
        auto bytes = datagrams[random() % datagrams.size()];
        for (std::size_t k = random() % 6; k > 0; --k)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 3 == 0)
            bytes.resize(random() % bytes.size());
        (void)decodeRelayDatagram(bytes);
    }
}

TEST(RelayCodec, KeepsWhatDaemonsTellOfQuarantines)
{
    QuarantineUpdate update;
    update.checksum = 0xfedcba9876543210;
    update.crashes = { { { TargetId("t1"), 99 },
                         250ms,
                         { { PromptPartId("c0"), ResponseStage::Begun, 0, 80ms, true },
                           { PromptPartId("5e"), ResponseStage::Awaited, 1, 70ms, false },
                           { PromptPartId("dead"), ResponseStage::Starting, 2, 60ms, false } } } };
    update.verdicts = { { PromptPartId("dead"), 3, true, 2, 48h } };
    auto sent = status();
    sent.quarantine = update;
    GroupSummary summary;
    summary.quarantine = update;
    const auto decodedStatus = decodeStatus(encode(sent));
    const auto decodedSummary = decodeRelayDatagram(encode(summary));
    ASSERT_TRUE(decodedStatus);
    ASSERT_TRUE(decodedSummary);
    for (const auto *it : { &decodedStatus.value().quarantine,
                            &std::get<GroupSummary>(decodedSummary.value()).quarantine }) {
        EXPECT_EQ(it->checksum, update.checksum);
        ASSERT_EQ(it->crashes.size(), 1U);
        EXPECT_EQ(it->crashes[0].run, update.crashes[0].run);
        EXPECT_EQ(it->crashes[0].age, 250ms);
        ASSERT_EQ(it->crashes[0].suspects.size(), 3U);
        for (std::size_t n = 0; n < 3; ++n) {
            const auto &expected = update.crashes[0].suspects[n];
            const auto &actual = it->crashes[0].suspects[n];
            EXPECT_EQ(actual.part, expected.part);
            EXPECT_EQ(actual.stage, expected.stage);
            EXPECT_EQ(actual.depth, expected.depth);
            EXPECT_EQ(actual.sentBefore, expected.sentBefore);
            EXPECT_EQ(actual.isCleared, expected.isCleared);
        }
        ASSERT_EQ(it->verdicts.size(), 1U);
        EXPECT_EQ(it->verdicts[0].part, PromptPartId("dead"));
        EXPECT_EQ(it->verdicts[0].generation, 3U);
        EXPECT_TRUE(it->verdicts[0].isLifted);
        EXPECT_EQ(it->verdicts[0].failedTrials, 2U);
        EXPECT_EQ(it->verdicts[0].age, 48h);
    }
}
