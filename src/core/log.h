#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// \file
/// Log in JSON Lines format on standard output.
///
/// Writing never blocks. Lines are dropped and counted when they exceed the rate limit, exceed
/// 4096 bytes or find the output not writable; the next line that is admitted is preceded by a
/// warning with the number of dropped lines.

namespace bluebell::log {

enum class Level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// A named value of a log line. Must not contain a caller's API key.
struct Field
{
    std::string_view name;
    std::string value;
};

/// Sets the program name that every line includes.
void setProgram(std::string name);

/// Sets the minimum level; lines below it are discarded and not counted as dropped.
void setLevel(Level level) noexcept;

/// Parses `debug`, `info`, `warning` or `error`; any other text gives Info.
[[nodiscard]] Level levelFromString(std::string_view text) noexcept;

/// Writes one line with time, level, program, message and `fields`. Thread-safe.
void write(Level level, std::string_view message, std::initializer_list<Field> fields = {});

/// \returns the number of lines dropped since the start of the process
[[nodiscard]] std::uint64_t droppedLines();

inline void debug(std::string_view message, std::initializer_list<Field> fields = {})
{
    write(Level::Debug, message, fields);
}

inline void info(std::string_view message, std::initializer_list<Field> fields = {})
{
    write(Level::Info, message, fields);
}

inline void warning(std::string_view message, std::initializer_list<Field> fields = {})
{
    write(Level::Warning, message, fields);
}

inline void error(std::string_view message, std::initializer_list<Field> fields = {})
{
    write(Level::Error, message, fields);
}

} // namespace bluebell::log
