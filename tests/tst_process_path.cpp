#include "tests/site.h"

#include <gmock/gmock.h>

#include <csignal>

using namespace bluebell;
using namespace bluebell::tests;
using std::chrono::seconds;
using std::chrono::steady_clock;
using testing::HasSubstr;

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

TEST(ProcessPath, ColdQuestionIsAnsweredThroughAnyEntry)
{
    Site site;
    site.applyRules();
    for (int entry = 1; entry <= 3; ++entry) {
        const auto answer = site.ask(entry, "cartridge-07", 12);
        EXPECT_EQ(answer.status, 200U) << answer.body;
        EXPECT_TRUE(answer.isWhole);
        EXPECT_EQ(countOf(answer.body, "\"content\""), 12);
        EXPECT_TRUE(answer.contains(Done));
    }
    // An adapter of another cold model.
    EXPECT_TRUE(site.ask(1, "cartridge-08:shop-01", 3).contains(Done));
}

TEST(ProcessPath, BurstAtAllEntriesForAColdModelIsOneLoad)
{
    Site site;
    site.applyRules();
    std::vector<std::thread> callers;
    std::atomic<int> whole = 0;
    for (int n = 0; n < 12; ++n)
        callers.emplace_back(
                [&, n] { whole += site.ask(1 + n % 3, "cartridge-20", 5).contains(Done) ? 1 : 0; });
    for (auto &it : callers)
        it.join();
    EXPECT_EQ(whole, 12);
    const auto status = site.ctl({ "status" });
    EXPECT_THAT(status.output, HasSubstr(", 1 loads decided"));
}

TEST(ProcessPath, BadInputIsRefusedWithPlaceAndCause)
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
    // A caller that sends too slowly.
    EXPECT_THAT(site.sendRaw(1, "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"),
                HasSubstr("did not arrive in time"));
    const auto chat = [&](const std::string &key, const std::string &body) {
        return site.call(1, { "POST", "/v1/chat/completions", { { "Authorization", key } }, body });
    };
    const auto valid = "Bearer " + site.key();
    EXPECT_EQ(chat(valid, "{").status, 400U);
    EXPECT_THAT(chat(valid, R"({"model":"cartridge-01"})").body, HasSubstr("'messages'"));
    const std::string question =
            R"({"model":"cartridge-99","messages":[{"role":"user","content":"x"}]})";
    EXPECT_EQ(chat(valid, question).status, 404U);
    EXPECT_EQ(chat("Bearer wrong", question).status, 401U);
    EXPECT_THAT(chat("", question).body, HasSubstr("\"execution\":\"not_run\""));
    EXPECT_EQ(site.call(1, { "GET", "/nothing", {}, {} }).status, 404U);
    EXPECT_TRUE(site.ask(1, "cartridge-01", 2).contains(Done));
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
    EXPECT_EQ(site.order(1, "o-1").status, 201U);
    EXPECT_THAT(site.order(1, "o-1").body, HasSubstr("\"run\":1"));
    EXPECT_EQ(site.order(1, "o-1", "{\"other\":1}").status, 409U);
    for (const auto *service : { "stockroom-1", "stockroom-2", "stockroom-3" })
        EXPECT_THAT(site.control(service, "{}"), HasSubstr("\"saw_caller_key\":false"));
}

TEST(ProcessPath, CutAndCrossedStreamsArriveWhole)
{
    Site site({ 1 });
    site.applyRules();
    const auto expected = site.ask(1, "cartridge-02", 40);
    ASSERT_TRUE(expected.contains(Done));
    for (int n = 1; n <= 9; ++n)
        site.control("matcher-" + std::to_string(n),
                     R"({"cut_after":7,"strikes":3,"crosses_tokens":true})");
    const auto answer = site.ask(1, "cartridge-02", 40);
    EXPECT_TRUE(answer.contains(Done)) << answer.body;
    EXPECT_EQ(countOf(answer.body, "\"content\""), 40);
    EXPECT_EQ(countOf(answer.body, "crossed"), 0);
    EXPECT_EQ(countOf(answer.body, "late"), 0);
}

TEST(ProcessPath, SilentStreamIsResumedOnANewConnection)
{
    Site site({ 1 });
    site.applyRules();
    ASSERT_TRUE(site.ask(1, "cartridge-02", 2).contains(Done));
    for (int n = 1; n <= 9; ++n)
        site.control("matcher-" + std::to_string(n), R"({"silent_after":5,"strikes":1})");
    const auto answer = site.ask(1, "cartridge-02", 20);
    EXPECT_TRUE(answer.contains(Done)) << answer.body;
    EXPECT_EQ(countOf(answer.body, "\"content\""), 20);
}

TEST(ProcessPath, AnswerThatCannotBeCompletedEndsLoudly)
{
    Site site({ 1 });
    site.applyRules();
    ASSERT_TRUE(site.ask(1, "cartridge-02", 2).contains(Done));
    for (int n = 1; n <= 9; ++n)
        site.control("matcher-" + std::to_string(n), R"({"cut_after":2,"strikes":100})");
    const auto answer = site.ask(1, "cartridge-02", 30);
    EXPECT_FALSE(answer.contains(Done));
    EXPECT_FALSE(answer.isWhole);
    EXPECT_TRUE(answer.contains("truncated")) << answer.body;
}
