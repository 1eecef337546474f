#include "core/log.h"
#include "ctl/commands.h"
#include "settings/settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fmt/core.h>

#include <cstdlib>

/// \file
/// bluebell-ctl: the operators' command-line tool.

namespace {

using namespace bluebell;

std::string defaultAuthor()
{
    const char *user = std::getenv("USER");
    return user == nullptr ? "operator" : user;
}

std::vector<SettingSpec> specs()
{
    const auto second = std::chrono::nanoseconds(std::chrono::seconds(1)).count();
    return {
        { "platform", Endpoint { "127.0.0.1", 7000 }, "address of the platform's services" },
        { "controllers", std::string(), "comma-separated peer addresses of controllers" },
        { "author", defaultAuthor(), "author recorded with a change" },
        { "base", std::int64_t { -1 },
          "version that the rule file is based on; -1 reads it from the file's header" },
        { "wait", Duration(std::chrono::seconds(8)),
          "how long apply waits for the change to be in force", 0, 600 * second },
        { "json", false, "print JSON" },
    };
}

int fail(const Error &error)
{
    fmt::print(stderr, "bluebell-ctl: {}\n", error.message);
    return static_cast<int>(ctl::ExitCode::Usage);
}

Result<ctl::Options> toOptions(const Settings &settings)
{
    ctl::Options it;
    it.platform = settings.endpoint("platform");
    BOOST_OUTCOME_TRY(it.controllers, parseEndpoints(settings.text("controllers")));
    it.author = settings.text("author");
    it.base = settings.number("base");
    it.wait = settings.duration("wait");
    it.json = settings.flag("json");
    return it;
}

} // namespace

int main(int argc, char **argv)
{
    log::setProgram("bluebell-ctl");
    std::vector<std::string> arguments;
    std::vector<const char *> optionArguments { argv[0] };
    for (int n = 1; n < argc; ++n) {
        const std::string_view word = argv[n];
        const bool isCommand = optionArguments.size() == 1 && !word.starts_with("--");
        if (isCommand)
            arguments.emplace_back(word);
        else
            optionArguments.push_back(argv[n]);
    }
    Settings settings("bluebell-ctl", "command-line tool for operators\n\n" + ctl::usage(),
                      specs());
    const auto mode =
            settings.load(static_cast<int>(optionArguments.size()), optionArguments.data());
    if (!mode)
        return fail(mode.error());
    if (mode.value() == StartMode::Finished)
        return 0;
    auto options = toOptions(settings);
    if (!options)
        return fail(options.error());
    if (arguments.empty()) {
        fmt::print(stderr, "{}", ctl::usage());
        return static_cast<int>(ctl::ExitCode::Usage);
    }
    boost::asio::io_context context;
    auto code = ctl::ExitCode::Unavailable;
    auto work = [&]() -> boost::asio::awaitable<void> {
        code = co_await ctl::run(std::move(options.value()), std::move(arguments));
    };
    boost::asio::co_spawn(context, work(), boost::asio::detached);
    context.run();
    return static_cast<int>(code);
}
