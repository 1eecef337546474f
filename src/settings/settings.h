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
/// Checked settings of a program: a TOML file, overridden by the command line.

namespace bluebell {

using SettingValue = std::variant<std::string, std::int64_t, Duration, Endpoint, bool>;

/// One setting with its default and its bounds.
struct SettingSpec
{
    std::string name;
    SettingValue defaultValue;
    std::string help;
    /// Bounds of a number, or of a duration in nanoseconds; both 0 for none.
    std::int64_t least = 0;
    std::int64_t greatest = 0;
};

/// What the command line asks the program to do.
enum class StartMode : std::uint8_t {
    Run,
    /// The request was answered on standard output; exit with success.
    Finished,
};

/// Reads the settings of one program.
///
/// Every program has `--config FILE`, `--check-config`, `--print-config`, `--help` and an option
/// for each setting, which goes before the file.
class Settings
{
public:
    Settings(std::string program, std::string summary, std::vector<SettingSpec> specs);

    /// Reads command line and file.
    ///
    /// \returns what to do next, or InvalidArgument with every fault: file, line, column and cause
    [[nodiscard]] Result<StartMode> load(int argc, const char *const *argv);

    // Values; the name must be one of the specs and of that type.

    [[nodiscard]] const std::string &text(std::string_view name) const;
    [[nodiscard]] std::int64_t number(std::string_view name) const;
    [[nodiscard]] Duration duration(std::string_view name) const;
    [[nodiscard]] const Endpoint &endpoint(std::string_view name) const;
    [[nodiscard]] bool flag(std::string_view name) const;

    /// \returns the values in force as a TOML file with the help as comments
    [[nodiscard]] std::string print() const;

private:
    struct Entry
    {
        SettingSpec spec;
        SettingValue value;
    };

    [[nodiscard]] const SettingValue &value(std::string_view name) const;
    [[nodiscard]] Entry *find(std::string_view name);
    void readFile(const std::string &path, std::vector<std::string> &faults);
    void setFromText(Entry &entry, const std::string &text, const std::string &place,
                     std::vector<std::string> &faults);

    std::string m_program;
    std::string m_summary;
    std::vector<Entry> m_entries;
};

/// Reads a time such as `500ms`, `10s`, `5min` or `2h`.
[[nodiscard]] Result<Duration> parseDuration(std::string_view text);

/// \returns `d` as parseDuration() reads it
[[nodiscard]] std::string formatDuration(Duration d);

/// Reads addresses parted by commas; an empty text gives none.
[[nodiscard]] Result<std::vector<Endpoint>> parseEndpoints(std::string_view text);

} // namespace bluebell
