#include "rules/parser.h"

#include <gmock/gmock.h>

using namespace bluebell;
using testing::HasSubstr;

namespace {

const std::string Valid = "class counter weight=8 timeout=10s # a\n"
                          "organisation shop rate=100/s burst=500 class=counter # a\n"
                          "target engine-1 address=127.0.0.1:9001 datacentre=x kind=engine "
                          "memory=80GiB fencing=yes slots=4 # a\n"
                          "model base memory=10GiB replicas=2 # a\n"
                          "adapter tuned model=base memory=1MiB # a\n"
                          "grant shop model=base adapter=tuned # a\n";

std::string errorsIn(const std::string &text)
{
    const auto parsed = parseRules("f", text);
    std::string all;
    if (!parsed)
        for (const auto &error : parsed.error())
            all += toString(error) + '\n';
    return all;
}

} // namespace

TEST(Rules, ValidFileIsParsedIntoARuleSet)
{
    const auto parsed = parseRules("f", Valid);
    ASSERT_TRUE(parsed);
    const auto &rules = parsed.value().rules;
    EXPECT_TRUE(rules.mayCall(OrganisationId("shop"), ModelId("base"), AdapterId("tuned")));
    EXPECT_FALSE(rules.mayCall(OrganisationId("shop"), ModelId("base"), AdapterId("other")));
    EXPECT_FALSE(rules.mayCall(OrganisationId("else"), ModelId("base"), AdapterId()));
    EXPECT_EQ(rules.organisations.at(OrganisationId("shop")).burst, 500);
    EXPECT_EQ(parsed.value().lines.size(), 6U);
}

TEST(Rules, AllErrorsAreReportedWithLocationAndSuggestion)
{
    const auto errors = errorsIn("clas counter weight=8 timeout=10s # a\n"
                                 "class night weight=0 timout=1s # a\n"
                                 "class day weight=1 timeout=1s\n");
    EXPECT_THAT(errors, HasSubstr("f:1:1: 'clas' is not a kind of rule; did you mean 'class'?"));
    EXPECT_THAT(errors, HasSubstr("f:2:20: '0' is not a whole number of at least 1"));
    EXPECT_THAT(errors, HasSubstr("f:2:22: 'class' has no attribute 'timout'"));
    EXPECT_THAT(errors, HasSubstr("did you mean 'timeout'?"));
    EXPECT_THAT(errors, HasSubstr("f:3:1: the line needs a comment"));
}

TEST(Rules, UnresolvedReferencesDuplicatesAndContradictionsAreErrors)
{
    EXPECT_THAT(errorsIn(Valid + "model base memory=1GiB replicas=1 # a\n"),
                HasSubstr("f:7:7: model 'base' is defined more than once"));
    EXPECT_THAT(errorsIn(Valid + "grant shop model=bass # a\n"),
                HasSubstr("there is no model 'bass'; did you mean 'base'?"));
    EXPECT_THAT(errorsIn(Valid + "model huge memory=90GiB replicas=1 # a\n"),
                HasSubstr("no target has enough memory for 'huge'"));
    EXPECT_THAT(errorsIn(Valid + "key 12ab organisation=shop # a\n"),
                HasSubstr("64 lower-case hexadecimal digits"));
    EXPECT_THAT(
            errorsIn(Valid + "target two address=127.0.0.1:9001 datacentre=x kind=service # a\n"),
            HasSubstr("belongs to another target already"));
    EXPECT_THAT(errorsIn("class x weight=1 timeout=99999999999999999999s # a\n"),
                HasSubstr("is not a time such as"));
}

/// Regression: every prefix that begins with the letters of /v1, such as /v10, was refused.
TEST(Rules, OnlyThePathsOfTheOwnInterfaceAreReserved)
{
    const auto route = [](const std::string &prefix) {
        return "target two address=127.0.0.1:9002 datacentre=x kind=service # a\nroute " + prefix
                + " targets=two idempotent=yes open=no # a\n";
    };
    EXPECT_THAT(errorsIn(route("/v1")), HasSubstr("the prefix /v1 is reserved"));
    EXPECT_THAT(errorsIn(route("/v1/chat")), HasSubstr("the prefix /v1 is reserved"));
    EXPECT_EQ(errorsIn(route("/v10")), "");
    EXPECT_EQ(errorsIn(route("/v1beta/stock")), "");
}

TEST(Rules, RandomlyCorruptedInputDoesNotCrashTheParser)
{
    std::uint64_t state = 7;
    for (int round = 0; round < 2000; ++round) {
        std::string text = Valid;
        for (int n = 0; n < 5; ++n) {
            state = state * 6364136223846793005ULL + 1442695040888963407ULL;
            text[(state >> 33U) % text.size()] = static_cast<char>(state >> 25U);
        }
        (void)parseRules("f", text);
    }
}
