#include "http/query.h"

#include <gtest/gtest.h>

using namespace bluebell;

TEST(Query, DecodesEscapes)
{
    EXPECT_EQ(percentDecode("a%20b%2Fc%ff"), "a b/c\xff");
    EXPECT_EQ(percentDecode(percentEncode("key/ \x01%\xc3")), "key/ \x01%\xc3");
}

/// Regression: a percent sign and one digit were taken as an escape, with the character behind
/// them.
TEST(Query, KeepsAnIncompleteEscapeAsItIs)
{
    EXPECT_EQ(percentDecode("%4z"), "%4z");
    EXPECT_EQ(percentDecode("100%"), "100%");
    EXPECT_EQ(percentDecode("%4"), "%4");
    EXPECT_EQ(percentDecode("%zz"), "%zz");
}
