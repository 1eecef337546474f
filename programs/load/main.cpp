#include "core/log.h"
#include "load/load.h"
#include "settings/settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fmt/core.h>

#include <algorithm>

/// \file
/// bluebell-load: open-loop load on entry daemons, with a report.

namespace {

using namespace bluebell;

std::vector<SettingSpec> specs()
{
    const auto second = std::chrono::nanoseconds(std::chrono::seconds(1)).count();
    return {
        { "entries", std::string("127.0.0.1:8080"), "entry addresses, parted by commas" },
        { "keys", std::string(), "caller keys, parted by commas" },
        { "model", std::string("cartridge-01"), "model, or the prefix of numbered models" },
        { "models", std::int64_t { 0 }, "how many numbered models; 0 for the one model", 0, 99 },
        { "rate", std::int64_t { 10 }, "requests a second", 1, 100000 },
        { "tokens", std::int64_t { 32 }, "tokens of an answer", 1, 8192 },
        { "length", Duration(std::chrono::seconds(10)), "how long to send", second, 3600 * second },
        { "seed", std::int64_t { 1 }, "seed of the choice of models" },
        { "granted-rate", std::int64_t { 0 },
          "tokens a second that each key's organisation may use" },
        { "granted-burst", std::int64_t { 0 },
          "its burst; with these, wrongful refusals are told" },
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
    Settings settings("bluebell-load", "open-loop load on entry daemons", specs());
    const auto mode = settings.load(argc, argv);
    if (!mode)
        return fail(mode.error().message);
    if (mode.value() == StartMode::Finished)
        return 0;
    const auto entries = parseEndpoints(settings.text("entries"));
    load::Options options;
    options.keys = split(settings.text("keys"));
    if (!entries || entries.value().empty() || options.keys.empty())
        return fail("--entries and --keys must each name at least one");
    options.entries = entries.value();
    options.model = settings.text("model");
    options.models = settings.number("models");
    options.requestsPerSecond = settings.number("rate");
    options.tokens = settings.number("tokens");
    options.length = settings.duration("length");
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
    return report.broken == 0 ? 0 : 1;
}
