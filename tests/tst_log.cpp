#include "core/log.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace bluebell;

namespace {

/// Redirects standard output into a non-blocking pipe during its lifetime.
class CapturedOutput
{
public:
    CapturedOutput()
    {
        std::array<int, 2> ends {};
        EXPECT_EQ(::pipe2(ends.data(), O_NONBLOCK), 0);
        m_read = ends[0];
        m_saved = ::dup(STDOUT_FILENO);
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[1]);
    }
    ~CapturedOutput()
    {
        ::dup2(m_saved, STDOUT_FILENO);
        ::close(m_saved);
        ::close(m_read);
    }
    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    std::string read()
    {
        std::string all;
        std::array<char, 65536> buf {};
        for (;;) {
            const auto n = ::read(m_read, buf.data(), buf.size());
            if (n <= 0)
                return all;
            all.append(buf.data(), static_cast<std::size_t>(n));
        }
    }

private:
    int m_read = -1;
    int m_saved = -1;
};

} // namespace

TEST(Log, WritesOneJsonLineToStandardOutput)
{
    CapturedOutput output;
    log::warning("something \"odd\"", { { "request", "a1" } });
    const auto text = output.read();
    EXPECT_NE(text.find(R"("message":"something \"odd\"","request":"a1"})"), std::string::npos);
    EXPECT_EQ(text.find('\n'), text.size() - 1);
}

TEST(Log, DropsLinesAboveTheRateLimitAndReportsTheirNumber)
{
    CapturedOutput output;
    const auto before = log::droppedLines();
    for (int n = 0; n < 5000; ++n)
        log::info("flood");
    EXPECT_GT(log::droppedLines(), before + 1000);
    log::warning("after the flood");
    EXPECT_NE(output.read().find("log lines left out"), std::string::npos);
}

TEST(Log, DoesNotBlockWhenTheOutputIsNotRead)
{
    CapturedOutput output;
    const std::string large(3500, 'x');
    const auto before = log::droppedLines();
    for (int n = 0; n < 100; ++n)
        log::error("large", { { "text", large } });
    EXPECT_GT(log::droppedLines(), before);
}
