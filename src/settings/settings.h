#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Settings of a program from a TOML file and the command line.

namespace bluebell {

using SettingValue = std::variant<std::string, std::int64_t, Duration, Endpoint, bool>;

/// Declaration of a setting.
struct SettingSpec
{
    std::string name;
    /// Also determines the type.
    SettingValue defaultValue;
    std::string help;
    /// Inclusive bounds of a number, or of a duration in nanoseconds; both 0 for none.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

/// What the program does after the settings are loaded.
enum class StartMode : std::uint8_t {
    Run,
    /// Exits with success; help or settings were printed, or the settings were only checked.
    Finished,
};

/// Loads, validates and prints the settings of a program.
///
/// Every program has the options `--config FILE`, `--check-config`, `--print-config` and `--help`,
/// and one option for each setting, which takes precedence over the file.
class Settings
{
public:
    Settings(std::string program, std::string summary, std::vector<SettingSpec> specs);

    /// Parses the command line and the file that it names.
    ///
    /// \returns the start mode, or InvalidArgument with one line for each error: its location and
    ///          cause
    [[nodiscard]] Result<StartMode> load(int argc, const char *const *argv);

    // Values; `name` must be the name of a setting of the returned type.

    [[nodiscard]] const std::string &text(std::string_view name) const;
    [[nodiscard]] std::int64_t number(std::string_view name) const;
    [[nodiscard]] Duration duration(std::string_view name) const;
    [[nodiscard]] const Endpoint &endpoint(std::string_view name) const;
    [[nodiscard]] bool flag(std::string_view name) const;

    /// \returns the effective values as a TOML file, with the help texts as comments
    [[nodiscard]] std::string print() const;

private:
    struct Entry
    {
        SettingSpec spec;
        SettingValue value;
    };

    [[nodiscard]] const SettingValue &value(std::string_view name) const;
    [[nodiscard]] Entry *find(std::string_view name);
    void readFile(const std::string &path, std::vector<std::string> &errors);
    void setFromText(Entry &entry, const std::string &text, const std::string &location,
                     std::vector<std::string> &errors);

    std::string m_program;
    std::string m_summary;
    std::vector<Entry> m_entries;
};

/// Parses a duration such as `500ms`, `10s`, `5min` or `2h`.
///
/// \returns the duration, or InvalidArgument when the text is malformed or the number exceeds
///          1 000 000
[[nodiscard]] Result<Duration> parseDuration(std::string_view text);

/// \returns `d` in the largest unit that gives a whole number, as parseDuration() accepts it
[[nodiscard]] std::string formatDuration(Duration d);

/// Parses a comma-separated list of endpoints; an empty text gives an empty list.
[[nodiscard]] Result<std::vector<Endpoint>> parseEndpoints(std::string_view text);

} // namespace bluebell
