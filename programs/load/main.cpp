#include "core/log.h"
#include "load/load.h"
#include "settings/settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fmt/core.h>

#include <algorithm>

/// \file
/// bluebell-load: open-loop load generator for entry daemons; prints a report.

namespace {

using namespace bluebell;

std::vector<SettingSpec> specs()
{
    const auto second = std::chrono::nanoseconds(std::chrono::seconds(1)).count();
    return {
        { "entries", std::string("127.0.0.1:8080"), "comma-separated addresses of entry daemons" },
        { "keys", std::string(), "comma-separated caller keys" },
        { "model", std::string("cartridge-01"), "model, or the prefix of numbered models" },
        { "models", std::int64_t { 0 }, "number of numbered models; 0 requests only --model", 0,
          99 },
        { "rate", std::int64_t { 10 }, "requests per second", 1, 100000 },
        { "tokens", std::int64_t { 32 }, "max_tokens of each request", 1, 8192 },
        { "length", Duration(std::chrono::seconds(10)), "how long requests are sent", second,
          3600 * second },
        { "seed", std::int64_t { 1 }, "seed of the choice of models" },
        { "granted-rate", std::int64_t { 0 },
          "tokens per second granted to each key's organisation" },
        { "granted-burst", std::int64_t { 0 },
          "burst granted to it; with both, wrongful refusals are counted" },
        { "json", false, "print JSON" },
    };
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto comma = std::min(text.find(',', begin), text.size());
        parts.push_back(text.substr(begin, comma - begin));
        begin = comma + 1;
    }
    return parts;
}

int fail(const std::string &message)
{
    fmt::print(stderr, "bluebell-load: {}\n", message);
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    log::setProgram("bluebell-load");
    Settings settings("bluebell-load", "open-loop load generator for entry daemons", specs());
    const auto mode = settings.load(argc, argv);
    if (!mode)
        return fail(mode.error().message);
    if (mode.value() == StartMode::Finished)
        return 0;
    const auto entries = parseEndpoints(settings.text("entries"));
    load::Options options;
    options.keys = split(settings.text("keys"));
    if (!entries || entries.value().empty() || options.keys.empty())
        return fail("--entries and --keys must each contain at least one value");
    options.entries = entries.value();
    options.model = settings.text("model");
    options.models = settings.number("models");
    options.requestsPerSecond = settings.number("rate");
    options.tokensPerRequest = settings.number("tokens");
    options.duration = settings.duration("length");
    options.grantedRate = settings.number("granted-rate");
    options.grantedBurst = settings.number("granted-burst");
    options.seed = static_cast<std::uint64_t>(settings.number("seed"));
    boost::asio::io_context context;
    load::Report report;
    auto work = [&]() -> boost::asio::awaitable<void> {
        report = co_await load::run(options);
    };
    boost::asio::co_spawn(context, work(), boost::asio::detached);
    context.run();
    fmt::print("{}", settings.flag("json") ? load::toJson(report) + "\n" : load::toText(report));
    return report.failed == 0 ? 0 : 1;
}
