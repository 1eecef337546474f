#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// \file
/// JSON-lines log on standard output.
///
/// Bounded: beyond a number of lines a second, and while nobody reads the output, lines are left
/// out and counted; the next line that gets through tells how many. Writing never blocks.

namespace bluebell::log {

enum class Level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// One named value of a log line. Caller keys never go into a field.
struct Field
{
    std::string_view name;
    std::string value;
};

/// Sets the program name that stands in every line.
void setProgram(std::string name);

/// Lines below `level` are left out.
void setLevel(Level level) noexcept;

/// Reads `debug`, `info`, `warning` or `error`; anything else gives Info.
[[nodiscard]] Level levelFromString(std::string_view text) noexcept;

/// Writes one line: time, level, program, message and `fields`. Safe from any thread.
void write(Level level, std::string_view message, std::initializer_list<Field> fields = {});

/// \returns lines that were left out since the start
[[nodiscard]] std::uint64_t linesLeftOut();

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
