#include "gatewayfixture.h"

/// Guards against one deadly prompt part that ends target after target, and against sound requests
/// that are refused with it.

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

const std::string SoundPrompt = "c0:100,5e:50,99:20";
const std::string DeadlyPrompt = "c0:100,5e:50,dead:30,77:20";
/// Three to be sure, and one that was under way meanwhile.
constexpr std::size_t MaxCrashes = 4;

class DeadlyParts : public GatewayTest
{
protected:
    DeadlyParts()
    {
        setConfig(siteConfig(1, 1));
        for (int n = 1; n <= 8; ++n) {
            auto &it = addTarget("e" + std::to_string(n), "engines", { "m0" });
            it.behaviour.deadlyPart = "dead";
        }
    }

    static std::vector<HttpHeader> with(const std::string &parts)
    {
        auto headers = ModelZero;
        headers.push_back({ "X-Prompt-Prefix", parts });
        return headers;
    }

    std::size_t crashCount() const
    {
        std::size_t n = 0;
        for (const auto &it : targets)
            n += it->crashes;
        return n;
    }

    /// Sends deadly requests to gateways in turn, with sound ones in between.
    void sendInTurn(const std::string &path, int count)
    {
        for (int n = 0; n < count; ++n) {
            request(n % settings.size(), path, "key-1", with(DeadlyPrompt));
            run(100ms);
            request(n % settings.size(), path, "key-1", with(SoundPrompt));
        }
    }

    void start(int gateways)
    {
        for (int n = 1; n <= gateways; ++n)
            addGateway("vm-" + std::to_string(n));
        for (int n = 0; n < gateways; ++n)
            ASSERT_TRUE(awaitReady(n));
        run(500ms);
    }
};

} // namespace

TEST_F(DeadlyParts, DoNotEndTargetAfterTarget)
{
    start(2);
    sendInTurn("/chat/x", 12);
    EXPECT_LE(crashCount(), MaxCrashes);
}

TEST_F(DeadlyParts, AreNotCarriedFromTargetToTargetByRetries)
{
    start(1);
    request(0, "/review/x", "key-1", with(DeadlyPrompt));
    EXPECT_LE(crashCount(), 2U);
    sendInTurn("/review/x", 6);
    EXPECT_LE(crashCount(), MaxCrashes);
}

TEST_F(DeadlyParts, AreRefusedWithTheirNameWhileSoundRequestsAreServed)
{
    start(2);
    sendInTurn("/chat/x", 8);
    run(500ms);
    const auto crashes = crashCount();
    for (std::size_t n = 0; n < settings.size(); ++n) {
        EXPECT_EQ(request(n, "/chat/x", "key-1", with(SoundPrompt)), 200U);
        const auto status = request(n, "/chat/x", "key-1", with(DeadlyPrompt));
        EXPECT_TRUE(status == 400 || status == 503) << status;
        EXPECT_NE(lastBody.find("dead"), std::string::npos) << lastBody;
        EXPECT_NE(lastBody.find("not_run"), std::string::npos) << lastBody;
    }
    EXPECT_EQ(crashCount(), crashes);
}

/// Guards against a sound part behind the deadly one that is refused in its place for good.
TEST_F(DeadlyParts, DoNotKeepSoundRequestsOutThatShareAllTheirOtherParts)
{
    const std::string deadly = "c0:100,dead:30,5e:50,77:20";
    start(3);
    for (std::size_t n = 0; n < 3; ++n) {
        request(n, "/chat/x", "key-1", with(deadly));
        run(100ms);
    }
    run(600ms);
    for (std::size_t n = 0; n < 2 * settings.size(); ++n)
        EXPECT_EQ(request(n % settings.size(), "/chat/x", "key-1", with(SoundPrompt)), 200U);
    run(500ms);
    const auto crashes = crashCount();
    for (std::size_t n = 0; n < settings.size(); ++n)
        EXPECT_NE(request(n, "/chat/x", "key-1", with(deadly)), 200U);
    EXPECT_EQ(crashCount(), crashes);
    EXPECT_LE(crashes, MaxCrashes);
}

TEST_F(DeadlyParts, AreKnownToAGatewayThatStartsLater)
{
    start(1);
    sendInTurn("/chat/x", 6);
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(1));
    run(500ms);
    const auto crashes = crashCount();
    EXPECT_NE(request(1, "/chat/x", "key-1", with(DeadlyPrompt)), 200U);
    EXPECT_EQ(crashCount(), crashes);
}

TEST_F(DeadlyParts, AreKnownAfterTheLossOfAllGateways)
{
    start(1);
    sendInTurn("/chat/x", 6);
    run(1500ms);
    const auto crashes = crashCount();
    processes.clear();
    settings.clear();
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(0));
    run(500ms);
    EXPECT_NE(request(0, "/chat/x", "key-1", with(DeadlyPrompt)), 200U);
    EXPECT_EQ(crashCount(), crashes);
}
