#include "core/digest.h"

#include <gtest/gtest.h>

using namespace filbertgw;

struct DigestCase
{
    const char *name_;
    const char *key_;
    const char *message_;
    const char *hmac_;
    const char *sha256_;
};

class Digest : public testing::TestWithParam<DigestCase>
{
};

// Guards against digests that differ from other implementations, with RFC 4231 case 2 and "abc" of FIPS 180.
TEST_P(Digest, MatchesPublishedVectors)
{
    EXPECT_EQ(hmacSha256(GetParam().key_, GetParam().message_), GetParam().hmac_);
    EXPECT_EQ(sha256(GetParam().message_), GetParam().sha256_);
}

INSTANTIATE_TEST_SUITE_P(Vectors,
                         Digest,
                         testing::Values(DigestCase{"Rfc4231Case2",
                                                    "Jefe",
                                                    "what do ya want for nothing?",
                                                    "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843",
                                                    "b381e7fec653fc3ab9b178272366b8ac87fed8d31cb25ed1d0e1f3318644c89c"},
                                         DigestCase{
                                             "EmptyKey",
                                             "",
                                             "abc",
                                             "fd7adb152c05ef80dccf50a1fa4c05d5a3ec6da95575fc312ae7c5d091836351",
                                             "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}),
                         [](const testing::TestParamInfo<DigestCase> &info) { return std::string(info.param.name_); });

// Guards against a comparison that accepts a prefix.
TEST(EqualConstantTime, ComparesWholeStrings)
{
    EXPECT_TRUE(equalConstantTime("abc", "abc"));
    EXPECT_FALSE(equalConstantTime("abc", "abd"));
    EXPECT_FALSE(equalConstantTime("abc", "ab"));
}
