#include "core/digest.h"
#include "site/siteindex.h"
#include "site/targetregistry.h"

#include <gtest/gtest.h>

#include <limits>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };

Route route(const std::string &name, const std::string &prefix)
{
    Route it;
    it.name = name;
    it.host = "shop.example";
    it.prefix = prefix;
    it.services = { { ServiceId("a"), 9 }, { ServiceId("b"), 1 } };
    return it;
}

TargetEntry entry(const std::string &name, std::uint64_t heartbeat = 1,
                  std::uint64_t startTimeMs = 1)
{
    TargetEntry it;
    it.id = TargetId(name);
    it.service = ServiceId("a");
    it.heartbeat = heartbeat;
    it.startTimeMs = startTimeMs;
    return it;
}

} // namespace

TEST(SiteIndex, LongestPrefixWins)
{
    SiteConfig config;
    config.routes = { route("short", "/a/"), route("long", "/a/b/"), route("root", "/") };
    const SiteIndex index(config);
    EXPECT_EQ(index.findRoute("shop.example", "/a/b/c?x=1")->name, "long");
    EXPECT_EQ(index.findRoute("shop.example", "/a/bc")->name, "short");
    EXPECT_EQ(index.findRoute("shop.example", "/z")->name, "root");
    EXPECT_EQ(index.findRoute("other.example", "/a/"), nullptr);
}

TEST(SiteIndex, QueryIsNotMatchedAsPath)
{
    SiteConfig config;
    config.routes = { route("short", "/a/") };
    const SiteIndex index(config);
    EXPECT_EQ(index.findRoute("shop.example", "/b?x=/a/"), nullptr);
}

TEST(SiteIndex, TellsANewNameFromANewOrganisation)
{
    const auto organisation = [](const std::string &name, const std::vector<std::string> &keys) {
        SiteOrganisation it;
        it.name = OrganisationId(name);
        for (const auto &key : keys)
            it.keys.push_back(digestOfKey(key));
        return it;
    };
    SiteConfig before;
    before.organisations = { organisation("a", { "1", "2" }), organisation("b", { "3" }),
                             organisation("c", { "4" }) };
    SiteConfig after;
    // The second one that has a key of `a` is new, `b` has taken over from `c`.
    after.organisations = { organisation("a2", { "2" }), organisation("a3", { "1" }),
                            organisation("b", { "3", "4" }), organisation("d", { "5" }) };
    const std::map<OrganisationId, OrganisationId> expected { { OrganisationId("a2"),
                                                                OrganisationId("a") } };
    EXPECT_EQ(renamedOrganisations(SiteIndex(before), SiteIndex(after)), expected);
}

TEST(SiteIndex, FindsOrganisationsByKey)
{
    SiteConfig config;
    SiteOrganisation organisation;
    organisation.name = OrganisationId("leicester-hifi");
    organisation.keys = { digestOfKey("one"), digestOfKey("two") };
    config.organisations = { organisation };
    const SiteIndex index(config);
    EXPECT_EQ(index.findOrganisation(std::string_view("two"))->name, organisation.name);
    EXPECT_EQ(index.findOrganisation(std::string_view("three")), nullptr);
}

TEST(SiteIndex, ServicesAreChosenByWeight)
{
    const auto it = route("r", "/");
    int toB = 0;
    for (std::uint64_t n = 0; n < 1000; ++n)
        toB += *chooseService(it, n) == ServiceId("b") ? 1 : 0;
    EXPECT_EQ(toB, 100);
    EXPECT_EQ(chooseService(Route(), 1), nullptr);
}

TEST(TargetRegistry, EntryReadAtAnOlderVersionIsIgnored)
{
    TargetRegistry registry;
    auto draining = entry("t", 7);
    draining.isDraining = true;
    registry.put("t", draining, 20);
    registry.put("t", entry("t", 6), 19);
    EXPECT_TRUE(registry.find(TargetId("t"))->isDraining);
    registry.put("t", entry("t", 8, 2), 19);
    EXPECT_TRUE(registry.find(TargetId("t"))->isDraining);
    registry.put("t", std::nullopt, 19);
    EXPECT_TRUE(registry.find(TargetId("t"))->isDraining);
    registry.put("t", entry("t", 1, 2), 21);
    EXPECT_FALSE(registry.find(TargetId("t"))->isDraining);
}

TEST(TargetRegistry, NewestRowCountsWhateverItsNumbers)
{
    constexpr auto Huge = std::numeric_limits<std::uint64_t>::max();
    TargetRegistry registry;
    registry.put("t", entry("t", 5, 1000), 1);
    registry.put("t", entry("t", Huge, Huge), 2);
    auto draining = entry("t", 6, 1000);
    draining.isDraining = true;
    registry.put("t", draining, 3);
    EXPECT_TRUE(registry.find(TargetId("t"))->isDraining);
}

TEST(TargetRegistry, RowOfAStoreWhoseVersionHasGoneBackIsTaken)
{
    TargetRegistry registry;
    registry.put("t", entry("t", 5), 100);
    registry.forgetVersions();
    registry.put("t", entry("t", 6), 3);
    EXPECT_EQ(registry.find(TargetId("t"))->heartbeat, 6U);
}

TEST(TargetRegistry, InvalidEntryRemovesTarget)
{
    TargetRegistry registry;
    registry.put("t", entry("t"), 1);
    registry.put("t", std::nullopt, 2);
    EXPECT_EQ(registry.find(TargetId("t")), nullptr);
}

TEST(TargetRegistry, RemovedTargetIsDroppedAtOnce)
{
    TargetRegistry registry;
    registry.noteContact(Start);
    registry.put("t", entry("t"), 1);
    registry.noteContact(Start + 1s);
    registry.remove("t", Start + 1s);
    EXPECT_EQ(registry.find(TargetId("t")), nullptr);
}

TEST(TargetRegistry, EntryExpiredInOutageIsKeptForAWhile)
{
    TargetRegistry registry;
    registry.noteContact(Start);
    registry.put("t", entry("t"), 1);
    registry.noteContact(Start + 6s);
    registry.replaceAll({}, 2, Start + 6s);
    EXPECT_NE(registry.find(TargetId("t")), nullptr);
    EXPECT_FALSE(registry.expire(Start + 7s));
    EXPECT_TRUE(registry.expire(Start + 8s));
    EXPECT_EQ(registry.find(TargetId("t")), nullptr);
}

TEST(TargetRegistry, EntryRenewedAfterOutageIsKept)
{
    TargetRegistry registry;
    registry.noteContact(Start);
    registry.put("t", entry("t"), 1);
    registry.noteContact(Start + 6s);
    registry.replaceAll({}, 2, Start + 6s);
    registry.put("t", entry("t", 2), 2);
    EXPECT_FALSE(registry.expire(Start + 9s));
    EXPECT_NE(registry.find(TargetId("t")), nullptr);
}
