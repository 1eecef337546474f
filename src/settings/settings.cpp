#include "settings/settings.h"

#include "rules/lexer.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <utility>

namespace po = boost::program_options;

namespace bluebell {
namespace {

struct Unit
{
    std::string_view suffix;
    Duration length;
};

constexpr std::array<Unit, 4> Units { {
        { "ms", std::chrono::milliseconds(1) },
        { "min", std::chrono::minutes(1) },
        { "s", std::chrono::seconds(1) },
        { "h", std::chrono::hours(1) },
} };

std::string formatValue(const SettingValue &value)
{
    struct Formatter
    {
        std::string operator()(const std::string &it) const { return it; }
        std::string operator()(std::int64_t it) const { return std::to_string(it); }
        std::string operator()(Duration it) const { return formatDuration(it); }
        std::string operator()(const Endpoint &it) const { return toString(it); }
        std::string operator()(bool it) const { return it ? "true" : "false"; }
    };
    return std::visit(Formatter {}, value);
}

bool isQuoted(const SettingValue &value)
{
    return !std::holds_alternative<std::int64_t>(value) && !std::holds_alternative<bool>(value);
}

/// Parses text as the type of the default value that it is called with.
struct ValueParser
{
    const std::string &text;

    Result<SettingValue> operator()(const std::string & /*defaultValue*/) const
    {
        return SettingValue(text);
    }

    Result<SettingValue> operator()(std::int64_t /*defaultValue*/) const
    {
        std::int64_t number = 0;
        const auto *end = text.data() + text.size();
        if (const auto [it, ec] = std::from_chars(text.data(), end, number);
            ec != std::errc {} || it != end)
            return makeError(ErrorCode::InvalidArgument, "'" + text + "' is not a whole number");
        return SettingValue(number);
    }

    Result<SettingValue> operator()(Duration /*defaultValue*/) const
    {
        BOOST_OUTCOME_TRY(auto it, parseDuration(text));
        return SettingValue(it);
    }

    Result<SettingValue> operator()(const Endpoint & /*defaultValue*/) const
    {
        BOOST_OUTCOME_TRY(auto it, parseEndpoint(text));
        return SettingValue(std::move(it));
    }

    Result<SettingValue> operator()(bool /*defaultValue*/) const
    {
        if (text != "true" && text != "false")
            return makeError(ErrorCode::InvalidArgument, "'" + text + "' is not true or false");
        return SettingValue(text == "true");
    }
};

/// \returns InvalidArgument when a number or duration is out of the bounds of its setting
Result<void> checkBounds(const SettingSpec &spec, const SettingValue &value)
{
    if (spec.minimum == 0 && spec.maximum == 0)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    std::int64_t number = 0;
    if (const auto *n = std::get_if<std::int64_t>(&value))
        number = *n;
    else if (const auto *d = std::get_if<Duration>(&value))
        number = d->count();
    if (number >= spec.minimum && number <= spec.maximum)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto formatBound = [&](std::int64_t bound) {
        return std::holds_alternative<Duration>(value) ? formatDuration(Duration(bound))
                                                       : std::to_string(bound);
    };
    return makeError(ErrorCode::InvalidArgument,
                     fmt::format("{} is not between {} and {}", formatValue(value),
                                 formatBound(spec.minimum), formatBound(spec.maximum)));
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const auto &line : lines)
        text += (text.empty() ? "" : "\n") + line;
    return text;
}

std::string tomlText(const toml::node &node)
{
    if (const auto *text = node.as_string())
        return text->get();
    if (const auto *number = node.as_integer())
        return std::to_string(number->get());
    if (const auto *flag = node.as_boolean())
        return flag->get() ? "true" : "false";
    return "a value of another type";
}

} // namespace

Result<Duration> parseDuration(std::string_view text)
{
    for (const auto &[suffix, length] : Units) {
        if (!text.ends_with(suffix))
            continue;
        const auto digits = text.substr(0, text.size() - suffix.size());
        std::int64_t number = 0;
        const auto *end = digits.data() + digits.size();
        constexpr std::int64_t MaxNumber = 1'000'000;
        if (const auto [it, ec] = std::from_chars(digits.data(), end, number);
            ec == std::errc {} && it == end && number >= 0 && number <= MaxNumber)
            return number * length;
    }
    return makeError(ErrorCode::InvalidArgument,
                     "'" + std::string(text) + "' is not a time such as 500ms, 10s, 5min or 2h");
}

std::string formatDuration(Duration d)
{
    for (const auto &[suffix, length] : { Units[3], Units[1], Units[2] })
        if (d >= length && d % length == Duration::zero())
            return fmt::format("{}{}", d / length, suffix);
    return fmt::format("{}ms", toMilliseconds(d).count());
}

Result<std::vector<Endpoint>> parseEndpoints(std::string_view text)
{
    std::vector<Endpoint> endpoints;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        BOOST_OUTCOME_TRY(auto it, parseEndpoint(text.substr(0, comma)));
        endpoints.push_back(std::move(it));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return endpoints;
}

Settings::Settings(std::string program, std::string summary, std::vector<SettingSpec> specs)
    : m_program(std::move(program)), m_summary(std::move(summary))
{
    for (auto &spec : specs) {
        auto value = spec.defaultValue;
        m_entries.push_back({ std::move(spec), std::move(value) });
    }
}

Result<StartMode> Settings::load(int argc, const char *const *argv)
{
    po::options_description options(m_program + ": " + m_summary);
    options.add_options()("help", "print this help and exit")("config", po::value<std::string>(),
                                                              "TOML file with settings");
    options.add_options()("check-config", "check the settings and exit");
    options.add_options()("print-config", "print the effective settings and exit");
    for (const auto &[spec, value] : m_entries) {
        const auto help = spec.help + " [" + formatValue(spec.defaultValue) + "]";
        auto *text = po::value<std::string>();
        if (std::holds_alternative<bool>(spec.defaultValue))
            text->implicit_value("true");
        options.add_options()(spec.name.c_str(), text, help.c_str());
    }
    po::variables_map parsedOptions;
    try {
        po::store(po::parse_command_line(argc, argv, options), parsedOptions);
    } catch (const po::error &e) {
        return makeError(ErrorCode::InvalidArgument, std::string("command line: ") + e.what());
    }
    if (parsedOptions.contains("help")) {
        std::ostringstream text;
        text << options;
        fmt::print("{}", text.str());
        return StartMode::Finished;
    }
    std::vector<std::string> errors;
    if (parsedOptions.contains("config"))
        readFile(parsedOptions["config"].as<std::string>(), errors);
    for (auto &entry : m_entries)
        if (parsedOptions.contains(entry.spec.name))
            setFromText(entry, parsedOptions[entry.spec.name].as<std::string>(),
                        "command line: --" + entry.spec.name, errors);
    if (!errors.empty())
        return makeError(ErrorCode::InvalidArgument, joinLines(errors));
    if (parsedOptions.contains("print-config"))
        fmt::print("{}", print());
    const bool isFinished =
            parsedOptions.contains("print-config") || parsedOptions.contains("check-config");
    return isFinished ? StartMode::Finished : StartMode::Run;
}

void Settings::readFile(const std::string &path, std::vector<std::string> &errors)
{
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error &e) {
        const auto &begin = e.source().begin;
        errors.push_back(
                fmt::format("{}:{}:{}: {}", path, begin.line, begin.column, e.description()));
        return;
    }
    std::vector<std::string_view> names;
    for (const auto &entry : m_entries)
        names.emplace_back(entry.spec.name);
    for (const auto &[key, node] : table) {
        const auto &begin = node.source().begin;
        const auto location =
                fmt::format("{}:{}:{}: {}", path, begin.line, begin.column, key.str());
        if (auto *entry = find(key.str())) {
            setFromText(*entry, tomlText(node), location, errors);
            continue;
        }
        const auto nearest = detail::nearestWord(key.str(), names);
        errors.push_back(
                location + ": unknown setting"
                + (nearest.empty() ? std::string() : fmt::format("; did you mean '{}'?", nearest)));
    }
}

void Settings::setFromText(Entry &entry, const std::string &text, const std::string &location,
                           std::vector<std::string> &errors)
{
    auto parsed = std::visit(ValueParser { text }, entry.spec.defaultValue);
    if (!parsed) {
        errors.push_back(location + ": " + parsed.error().message);
        return;
    }
    if (const auto checked = checkBounds(entry.spec, parsed.value()); !checked) {
        errors.push_back(location + ": " + checked.error().message);
        return;
    }
    entry.value = std::move(parsed.value());
}

Settings::Entry *Settings::find(std::string_view name)
{
    const auto it = std::find_if(m_entries.begin(), m_entries.end(),
                                 [&](const Entry &entry) { return entry.spec.name == name; });
    return it == m_entries.end() ? nullptr : &*it;
}

const SettingValue &Settings::value(std::string_view name) const
{
    const auto it = std::find_if(m_entries.begin(), m_entries.end(),
                                 [&](const Entry &entry) { return entry.spec.name == name; });
    assert(it != m_entries.end());
    return it->value;
}

const std::string &Settings::text(std::string_view name) const
{
    return std::get<std::string>(value(name));
}

std::int64_t Settings::number(std::string_view name) const
{
    return std::get<std::int64_t>(value(name));
}

Duration Settings::duration(std::string_view name) const
{
    return std::get<Duration>(value(name));
}

const Endpoint &Settings::endpoint(std::string_view name) const
{
    return std::get<Endpoint>(value(name));
}

bool Settings::flag(std::string_view name) const
{
    return std::get<bool>(value(name));
}

std::string Settings::print() const
{
    std::string text;
    for (const auto &[spec, value] : m_entries) {
        const auto shown = formatValue(value);
        text += fmt::format("# {}\n{} = {}\n", spec.help, spec.name,
                            isQuoted(value) ? '"' + shown + '"' : shown);
    }
    return text;
}

} // namespace bluebell
