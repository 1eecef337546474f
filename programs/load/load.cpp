#include "load/load.h"

#include "http/client.h"
#include "io/notifier.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace asio = boost::asio;
namespace bh = boost::histogram;

namespace bluebell::load {
namespace {

constexpr Duration ResponseTimeout = std::chrono::seconds(60);
constexpr unsigned HistogramBins = 400;

using LogarithmicAxis = bh::axis::regular<double, bh::axis::transform::log>;

/// \returns an empty histogram of times from 0.1 ms to 100 s, with bins of equal width on a log
/// scale
auto makeLatencyHistogram()
{
    return bh::make_histogram(LogarithmicAxis(HistogramBins, 0.0001, 100.0));
}

using LatencyHistogram = decltype(makeLatencyHistogram());

/// \returns the upper edge, in seconds, of the bin that contains the quantile; 0 without values
double quantile(const LatencyHistogram &histogram, double q)
{
    double total = 0;
    for (const auto &bin : bh::indexed(histogram, bh::coverage::all))
        total += *bin;
    double sum = 0;
    for (const auto &bin : bh::indexed(histogram, bh::coverage::all)) {
        sum += *bin;
        if (total > 0 && sum >= q * total)
            return bin.bin().upper();
    }
    return 0;
}

Quantiles quantiles(const LatencyHistogram &histogram)
{
    return { quantile(histogram, 0.5), quantile(histogram, 0.95), quantile(histogram, 0.99) };
}

/// Exact token bucket; a refusal is wrongful if this bucket would have admitted the request.
class TokenBucket
{
public:
    TokenBucket(double rate, double burst, TimePoint now)
        : m_rate(rate), m_burst(burst), m_level(burst), m_at(now)
    {
    }

    /// Takes `tokens` if the bucket holds that many.
    ///
    /// \returns whether it did
    bool take(double tokens, TimePoint now)
    {
        advance(now);
        const bool suffices = m_level >= tokens;
        m_level -= suffices ? tokens : 0;
        return suffices;
    }

private:
    void advance(TimePoint now)
    {
        m_level = std::min(m_level + toSeconds(now - m_at) * m_rate, m_burst);
        m_at = now;
    }

    double m_rate;
    double m_burst;
    double m_level;
    TimePoint m_at;
};

/// Results of the organisation that owns one key.
struct KeyProgress
{
    TokenBucket bucket;
    LatencyHistogram firstToken = makeLatencyHistogram();
    std::uint64_t refused = 0;
};

/// State and results of a run.
struct Progress
{
    Report report;
    LatencyHistogram firstToken = makeLatencyHistogram();
    LatencyHistogram tokenGap = makeLatencyHistogram();
    LatencyHistogram coldStart = makeLatencyHistogram();
    std::vector<KeyProgress> keys;
    std::set<std::string> models;
    /// Requests whose response has not ended yet.
    std::uint64_t inFlight = 0;
};

/// A request to send, and what the evaluation of its result needs.
struct PendingRequest
{
    HttpCall call;
    /// Index of the caller key.
    std::size_t key = 0;
    bool isFirstOfModel = false;
    /// Whether the exact token bucket admits the request.
    bool isWithinRate = false;
};

HttpRequest makeRequest(const Options &options, const std::string &key, const std::string &model)
{
    const nlohmann::json message = { { "role", "user" }, { "content", "Which one fits?" } };
    nlohmann::json body = { { "model", model },
                            { "stream", true },
                            { "max_tokens", options.tokensPerRequest } };
    body["messages"] = nlohmann::json::array();
    body["messages"].push_back(message);
    return {
        "POST", "/v1/chat/completions", { { "Authorization", "Bearer " + key } }, body.dump()
    };
}

/// \returns the number of tokens in a chunk: each is the `content` field of one event
std::uint64_t countTokens(const std::string &chunk)
{
    constexpr std::string_view Mark = "\"content\"";
    std::uint64_t n = 0;
    for (auto it = chunk.find(Mark); it != std::string::npos; it = chunk.find(Mark, it + 1))
        ++n;
    return n;
}

void noteFirstToken(const PendingRequest &pending, Duration d, Progress &progress)
{
    progress.firstToken(toSeconds(d));
    progress.keys[pending.key].firstToken(toSeconds(d));
    if (pending.isFirstOfModel)
        progress.coldStart(toSeconds(d));
}

/// \returns whether a response promises by its status that nothing ran, and not by its body
bool isUnfoundedPromise(unsigned status, const std::string &body)
{
    if (!promisesNotRun(status))
        return false;
    const auto it = nlohmann::json::parse(body, nullptr, false);
    const nlohmann::json::json_pointer execution("/error/execution");
    return it.is_discarded() || !it.contains(execution) || it[execution] != "not_run";
}

/// \returns what arrives of the body
asio::awaitable<std::string> readBody(HttpStream &stream)
{
    std::string body;
    for (;;) {
        auto chunk = co_await stream.read(BootClock::now() + ResponseTimeout);
        if (!chunk || !chunk.value())
            co_return body;
        body += *chunk.value();
    }
}

void noteRefusal(const PendingRequest &pending, unsigned status, const std::string &body,
                 Progress &progress)
{
    constexpr unsigned RateLimited = 429;
    ++progress.report.refused;
    progress.report.unfoundedPromises += isUnfoundedPromise(status, body) ? 1 : 0;
    ++progress.keys[pending.key].refused;
    if (status == RateLimited && pending.isWithinRate)
        ++progress.report.wrongfullyRefused;
}

asio::awaitable<void> sendRequest(PendingRequest pending, Progress &progress)
{
    ++progress.inFlight;
    const auto begin = BootClock::now();
    auto stream = co_await openStream(std::move(pending.call));
    if (!stream || stream.value().status() != 200) {
        if (stream) {
            const auto body = co_await readBody(stream.value());
            noteRefusal(pending, stream.value().status(), body, progress);
        } else {
            ++progress.report.failed;
        }
        --progress.inFlight;
        co_return;
    }
    auto last = begin;
    bool hasEndMarker = false;
    bool hasToken = false;
    for (;;) {
        auto chunk = co_await stream.value().read(BootClock::now() + ResponseTimeout);
        if (!chunk || !chunk.value())
            break;
        const auto now = BootClock::now();
        const auto tokens = countTokens(*chunk.value());
        if (tokens > 0) {
            if (hasToken)
                progress.tokenGap(toSeconds(now - last));
            else
                noteFirstToken(pending, now - begin, progress);
            hasToken = true;
            last = now;
        }
        progress.report.tokens += tokens;
        hasEndMarker = hasEndMarker || chunk.value()->find("[DONE]") != std::string::npos;
    }
    ++(hasEndMarker ? progress.report.completed : progress.report.failed);
    --progress.inFlight;
}

std::string pickModel(const Options &options, std::mt19937_64 &random)
{
    if (options.models == 0)
        return options.model;
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto skewed = uniform(random) * uniform(random);
    const auto n = 1 + static_cast<std::int64_t>(skewed * static_cast<double>(options.models));
    return fmt::format("{}{:02}", options.model, n);
}

/// Chooses the key, entry daemon and model of the next request.
PendingRequest nextRequest(const Options &options, Progress &progress, std::mt19937_64 &random)
{
    const auto n = progress.report.sent++;
    const auto model = pickModel(options, random);
    PendingRequest it;
    it.key = n % options.keys.size();
    it.isFirstOfModel = progress.models.insert(model).second;
    it.isWithinRate = options.grantedRate > 0
            && progress.keys[it.key].bucket.take(static_cast<double>(options.tokensPerRequest),
                                                 BootClock::now());
    it.call = { options.entries[n % options.entries.size()],
                makeRequest(options, options.keys[it.key], model), ResponseTimeout };
    return it;
}

void findWorstKey(Progress &progress)
{
    for (std::size_t n = 0; n < progress.keys.size(); ++n) {
        const auto it = quantiles(progress.keys[n].firstToken);
        if (n > 0 && it.p99 <= progress.report.worstFirstToken.p99)
            continue;
        progress.report.worstKey = n;
        progress.report.worstFirstToken = it;
        progress.report.worstRefused = progress.keys[n].refused;
    }
}

} // namespace

asio::awaitable<Report> run(Options options)
{
    auto executor = co_await asio::this_coro::executor;
    Progress progress;
    for (std::size_t n = 0; n < options.keys.size(); ++n)
        progress.keys.push_back(
                { TokenBucket(static_cast<double>(options.grantedRate),
                              static_cast<double>(options.grantedBurst), BootClock::now()) });
    std::mt19937_64 random(options.seed);
    const auto begin = BootClock::now();
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::seconds(1))
            / options.requestsPerSecond;
    for (auto due = begin; due < begin + options.duration; due += interval) {
        if (const auto now = BootClock::now(); now < due)
            co_await sleepFor(due - now);
        asio::co_spawn(executor, sendRequest(nextRequest(options, progress, random), progress),
                       asio::detached);
    }
    while (progress.inFlight > 0)
        co_await sleepFor(std::chrono::milliseconds(20));
    progress.report.seconds = toSeconds(BootClock::now() - begin);
    progress.report.firstToken = quantiles(progress.firstToken);
    progress.report.tokenGap = quantiles(progress.tokenGap);
    progress.report.coldStart = quantiles(progress.coldStart);
    findWorstKey(progress);
    co_return progress.report;
}

std::string toText(const Report &report)
{
    const auto line = [](std::string_view name, const Quantiles &it) {
        return fmt::format("{:<12} p50 {:>8.1f} ms  p95 {:>8.1f} ms  p99 {:>8.1f} ms\n", name,
                           it.p50 * 1000, it.p95 * 1000, it.p99 * 1000);
    };
    return fmt::format("sent {}, completed {}, refused {}, failed {}, {:.0f} tokens/s\n",
                       report.sent, report.completed, report.refused, report.failed,
                       static_cast<double>(report.tokens) / report.seconds)
            + line("first token", report.firstToken) + line("token gap", report.tokenGap)
            + line("cold start", report.coldStart) + line("worst key", report.worstFirstToken)
            + fmt::format("worst key is number {}, refused {}; wrongfully refused in total {}; "
                          "promises without a ground {}\n",
                          report.worstKey + 1, report.worstRefused, report.wrongfullyRefused,
                          report.unfoundedPromises);
}

std::string toJson(const Report &report)
{
    const auto json = [](const Quantiles &it) {
        return nlohmann::json { { "p50", it.p50 }, { "p95", it.p95 }, { "p99", it.p99 } };
    };
    return nlohmann::json {
        { "sent", report.sent },
        { "whole", report.completed },
        { "refused", report.refused },
        { "broken", report.failed },
        { "tokens", report.tokens },
        { "seconds", report.seconds },
        { "first_token", json(report.firstToken) },
        { "token_gap", json(report.tokenGap) },
        { "cold_start", json(report.coldStart) },
        { "worst_key", report.worstKey + 1 },
        { "worst_first_token", json(report.worstFirstToken) },
        { "worst_refused", report.worstRefused },
        { "wrongfully_refused", report.wrongfullyRefused },
        { "unfounded_promises", report.unfoundedPromises }
    }.dump();
}

} // namespace bluebell::load
