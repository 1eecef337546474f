#include "ctl/rulefile.h"

#include <fmt/core.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

namespace bluebell::ctl {
namespace {

std::optional<ConfigVersion> parseVersionHeader(const std::string &text)
{
    const auto it = text.find(VersionHeader);
    if (it == std::string::npos)
        return std::nullopt;
    return std::strtoull(text.c_str() + it + VersionHeader.size(), nullptr, 10);
}

} // namespace

void printError(std::string_view message)
{
    fmt::print(stderr, "bluebell-ctl: {}\n", message);
}

bool writeVersionHeader(const RuleFile &file, ConfigVersion version)
{
    auto text = file.text;
    const auto header = std::string(VersionHeader) + std::to_string(version);
    if (const auto it = text.find(VersionHeader); it != std::string::npos)
        text.replace(it, std::min(text.find('\n', it), text.size()) - it, header);
    else
        text = header + '\n' + text;
    const auto temporary = file.path + ".tmp";
    std::ofstream out(temporary);
    out << text;
    out.close();
    return out && std::rename(temporary.c_str(), file.path.c_str()) == 0;
}

std::optional<RuleFile> readRules(const std::string &path, std::optional<ConfigVersion> base)
{
    std::ifstream in(path);
    if (!in) {
        printError("cannot read '" + path + "'");
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    RuleFile file { path, text.str(), {}, 0 };
    auto parsed = parseRules(path, file.text);
    if (!parsed) {
        for (const auto &error : parsed.error())
            fmt::print(stderr, "{}\n", toString(error));
        return std::nullopt;
    }
    file.parsed = std::move(parsed.value());
    file.base = base ? *base : parseVersionHeader(file.text).value_or(0);
    return file;
}

} // namespace bluebell::ctl
