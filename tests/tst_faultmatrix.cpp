#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

/// \file
/// Checks that docs/FAULTS.md covers every fault at every point and every scenario of deploy/days,
/// and that the tests it names exist.

namespace {

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::set<std::string> testNames()
{
    const std::regex pattern(R"(TEST(?:_P|_F)?\((\w+),\s*(\w+)\))");
    std::set<std::string> names;
    for (const auto &it : std::filesystem::directory_iterator(BLUEBELL_SOURCE_DIR "/tests")) {
        const auto text = readFile(it.path());
        for (auto match = std::sregex_iterator(text.begin(), text.end(), pattern);
             match != std::sregex_iterator(); ++match)
            names.insert((*match)[1].str() + '.' + (*match)[2].str());
    }
    return names;
}

/// One cell of the fault matrix.
struct MatrixRow
{
    std::string point;
    std::string fault;
    /// The name of a test, or the reason why there is none.
    std::string coverage;
};

std::vector<MatrixRow> matrixRows()
{
    std::istringstream lines(readFile(BLUEBELL_SOURCE_DIR "/docs/FAULTS.md"));
    const std::regex heading(R"(## (P\d+): .*)");
    const std::regex row(R"(\| (F\d+) \| [^|]+ \| ([^|]+) \|)");
    std::vector<MatrixRow> rows;
    std::string point;
    std::string line;
    while (std::getline(lines, line)) {
        std::smatch match;
        if (std::regex_match(line, match, heading))
            point = match[1];
        else if (std::regex_match(line, match, row))
            rows.push_back({ point, match[1], match[2] });
    }
    return rows;
}

} // namespace

TEST(FaultMatrix, EveryCellHasATestOrAnExplanation)
{
    constexpr int Points = 11;
    constexpr int Faults = 11;
    const auto names = testNames();
    std::set<std::pair<std::string, std::string>> cells;
    for (const auto &[point, fault, coverage] : matrixRows()) {
        cells.emplace(point, fault);
        const bool isExplained =
                coverage.starts_with("not proved: ") || coverage.starts_with("cannot happen: ");
        EXPECT_TRUE(isExplained || names.contains(coverage))
                << point << ' ' << fault << ": " << coverage;
    }
    for (int p = 1; p <= Points; ++p)
        for (int f = 1; f <= Faults; ++f)
            EXPECT_TRUE(cells.contains({ 'P' + std::to_string(p), 'F' + std::to_string(f) }))
                    << "P" << p << " F" << f;
}

TEST(FaultMatrix, EveryScenarioHasARowAndATestOrAnExplanation)
{
    const auto names = testNames();
    const std::regex pattern(R"(\| ([a-z-]+) \| [A-Za-z, ]+ \| ([^|]+) \| [^|]+ \| [^|]+ \|)");
    std::map<std::string, std::string> rows;
    std::istringstream lines(readFile(BLUEBELL_SOURCE_DIR "/docs/FAULTS.md"));
    std::string line;
    while (std::getline(lines, line))
        if (std::smatch match; std::regex_match(line, match, pattern))
            rows[match[1]] = match[2];
    for (const auto &it : std::filesystem::directory_iterator(BLUEBELL_SOURCE_DIR "/deploy/days")) {
        const auto scenario = it.path().stem().string();
        ASSERT_TRUE(rows.contains(scenario)) << scenario;
        const auto &coverage = rows[scenario];
        const bool isExplained =
                coverage.starts_with("not proved: ") || coverage.starts_with("cannot happen: ");
        EXPECT_TRUE(isExplained || names.contains(coverage)) << scenario << ": " << coverage;
    }
}
