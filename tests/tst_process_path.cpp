#include "tests/site.h"

#include <gmock/gmock.h>

#include <csignal>
#include <future>
#include <vector>

using namespace bluebell;
using namespace bluebell::tests;
using std::chrono::seconds;
using std::chrono::steady_clock;
using testing::HasSubstr;

/// \file
/// Chat and service requests through real entry and controller processes.

namespace {

int countOf(const std::string &text, const std::string &part)
{
    int n = 0;
    for (auto it = text.find(part); it != std::string::npos; it = text.find(part, it + 1))
        ++n;
    return n;
}

const std::string Done = "data: [DONE]";

} // namespace

TEST(ProcessPath, ColdModelIsServedThroughEveryEntry)
{
    Site site;
    site.applyRules();
    for (int entry = 1; entry <= 3; ++entry) {
        const auto response = site.streamChat(entry, "cartridge-07", 12);
        EXPECT_EQ(response.status, 200U) << response.body;
        EXPECT_TRUE(response.isComplete);
        EXPECT_EQ(countOf(response.body, "\"content\""), 12);
        EXPECT_TRUE(response.contains(Done));
    }
    // An adapter of another model that is not loaded yet.
    EXPECT_TRUE(site.streamChat(1, "cartridge-08:shop-01", 3).contains(Done));
}

TEST(ProcessPath, BurstForAColdModelAtAllEntriesCausesOneLoad)
{
    Site site;
    site.applyRules();
    std::vector<std::thread> callers;
    std::atomic<int> completed = 0;
    for (int n = 0; n < 12; ++n)
        callers.emplace_back([&, n] {
            completed += site.streamChat(1 + n % 3, "cartridge-20", 5).contains(Done) ? 1 : 0;
        });
    for (auto &it : callers)
        it.join();
    EXPECT_EQ(completed, 12);
    const auto status = site.ctl({ "status" });
    EXPECT_THAT(status.output, HasSubstr(", 1 loads decided"));
}

TEST(ProcessPath, InvalidRequestsAreRefusedWithTheReason)
{
    Site site({ 1 });
    site.applyRules();
    EXPECT_THAT(site.sendRaw(1, "nonsense\r\n\r\n"), HasSubstr("malformed HTTP"));
    EXPECT_THAT(site.sendRaw(1, "GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n"),
                HasSubstr("payload_too_large"));
    EXPECT_THAT(site.sendRaw(1,
                             "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                             "Content-Length: 100000\r\n\r\n"),
                HasSubstr("payload_too_large"));
    // A caller that does not send the rest of its body.
    EXPECT_THAT(site.sendRaw(1, "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"),
                HasSubstr("did not arrive in time"));
    const auto postChat = [&](const std::string &key, const std::string &body) {
        return site.call(1, { "POST", "/v1/chat/completions", { { "Authorization", key } }, body });
    };
    const auto valid = "Bearer " + site.key();
    EXPECT_EQ(postChat(valid, "{").status, 400U);
    EXPECT_THAT(postChat(valid, R"({"model":"cartridge-01"})").body, HasSubstr("'messages'"));
    const std::string unknownModelRequest =
            R"({"model":"cartridge-99","messages":[{"role":"user","content":"x"}]})";
    EXPECT_EQ(postChat(valid, unknownModelRequest).status, 404U);
    EXPECT_EQ(postChat("Bearer wrong", unknownModelRequest).status, 401U);
    EXPECT_THAT(postChat("", unknownModelRequest).body, HasSubstr("\"execution\":\"not_run\""));
    EXPECT_EQ(site.call(1, { "GET", "/nothing", {}, {} }).status, 404U);
    EXPECT_TRUE(site.streamChat(1, "cartridge-01", 2).contains(Done));
}

TEST(ProcessPath, ServicesAreRoutedWithoutTheCallersKey)
{
    Site site({ 1 });
    site.applyRules();
    const std::vector<HttpHeader> key { { "Authorization", "Bearer " + site.key() } };
    EXPECT_EQ(site.call(1, { "GET", "/opening-hours", {}, {} }).status, 200U);
    EXPECT_EQ(site.call(1, { "GET", "/stock/1", {}, {} }).status, 401U);
    EXPECT_EQ(site.call(1, { "GET", "/stock/1", key, {} }).status, 200U);
    EXPECT_EQ(site.call(1, { "POST", "/reservations", key, "{}" }).status, 400U);
    EXPECT_EQ(site.postReservation(1, "o-1").status, 201U);
    EXPECT_THAT(site.postReservation(1, "o-1").body, HasSubstr("\"run\":1"));
    EXPECT_EQ(site.postReservation(1, "o-1", "{\"other\":1}").status, 409U);
    for (const auto *service : { "stockroom-1", "stockroom-2", "stockroom-3" })
        EXPECT_THAT(site.control(service, "{}"), HasSubstr("\"saw_caller_key\":false"));
}

/// Targets cut streams after 7 tokens and send, before each token, one of another request and one
/// of an earlier attempt.
TEST(ProcessPath, InterruptedAndMixedUpStreamsAreDeliveredComplete)
{
    Site site({ 1 });
    site.applyRules();
    const auto expected = site.streamChat(1, "cartridge-02", 40);
    ASSERT_TRUE(expected.contains(Done));
    for (int n = 1; n <= 9; ++n)
        site.control("matcher-" + std::to_string(n),
                     R"({"cut_after":7,"strikes":3,"crosses_tokens":true})");
    const auto response = site.streamChat(1, "cartridge-02", 40);
    EXPECT_TRUE(response.contains(Done)) << response.body;
    EXPECT_EQ(countOf(response.body, "\"content\""), 40);
    EXPECT_EQ(countOf(response.body, "crossed"), 0);
    EXPECT_EQ(countOf(response.body, "late"), 0);
}

TEST(ProcessPath, StalledStreamIsResumedOnANewConnection)
{
    Site site({ 1 });
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-02", 2).contains(Done));
    for (int n = 1; n <= 9; ++n)
        site.control("matcher-" + std::to_string(n), R"({"silent_after":5,"strikes":1})");
    const auto response = site.streamChat(1, "cartridge-02", 20);
    EXPECT_TRUE(response.contains(Done)) << response.body;
    EXPECT_EQ(countOf(response.body, "\"content\""), 20);
}

/// Streams at silent, sound targets were given up although the retry budget was used up.
TEST(ProcessPath, StreamsBeyondTheRetryBudgetSurviveTheSilenceOfTheirTargets)
{
    constexpr int Callers = 24;
    Site site({ 1 });
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-02", 2).contains(Done));
    for (int n = 1; n <= 9; ++n)
        site.control("matcher-" + std::to_string(n),
                     R"({"silent_after":5,"silent_ms":3500,"strikes":1000})");
    std::vector<std::future<CallResult>> streams;
    for (int n = 0; n < Callers; ++n)
        streams.push_back(std::async(std::launch::async, [&] {
            return site.streamChat(1, "cartridge-02", 12, std::chrono::seconds(40));
        }));
    int complete = 0;
    for (auto &it : streams) {
        const auto response = it.get();
        complete += response.contains(Done) && countOf(response.body, "\"content\"") == 12 ? 1 : 0;
    }
    EXPECT_EQ(complete, Callers);
}

TEST(ProcessPath, ResponseThatCannotBeCompletedEndsWithAnError)
{
    Site site({ 1 });
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-02", 2).contains(Done));
    for (int n = 1; n <= 9; ++n)
        site.control("matcher-" + std::to_string(n), R"({"cut_after":2,"strikes":100})");
    const auto response = site.streamChat(1, "cartridge-02", 30);
    EXPECT_FALSE(response.contains(Done));
    EXPECT_FALSE(response.isComplete);
    EXPECT_TRUE(response.contains("truncated")) << response.body;
}

/// Regression: requests that had reached an engine were refused as not run when the retry budget
/// was used up, and with status 503 otherwise.
TEST(ProcessPath, RequestsThatMayHaveRunAreNotRefusedAsNotRun)
{
    constexpr int Callers = 30;
    Site site({ 1 });
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-02", 2).contains(Done));
    for (int n = 1; n <= 9; ++n)
        site.control("matcher-" + std::to_string(n), R"({"lost_starts":1000})");
    std::vector<std::future<CallResult>> calls;
    for (int n = 0; n < Callers; ++n)
        calls.push_back(std::async(std::launch::async,
                                   [&] { return site.streamChat(1, "cartridge-02", 4); }));
    for (auto &it : calls) {
        const auto response = it.get();
        EXPECT_EQ(response.status, 502U) << response.body;
        EXPECT_TRUE(response.contains("outcome_unknown")) << response.body;
    }
}
