#include "net/peerframe.h"

#include <gtest/gtest.h>

#include <random>

using namespace filbertgw;

/** \brief libFuzzer's entry point: any bytes are refused or give a frame that survives encoding. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT
{
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    const std::optional<PeerFrame> frame = parsePeerFrame(bytes);
    if (!frame || frame->type_ == PeerFrameType::Unknown) {
        return 0;
    }
    const std::string encoded = encodePeerFrame(frame->type_, frame->id_, frame->name_, frame->body_);
    const std::optional<PeerFrame> again = parsePeerFrame(encoded);
    // NaN differs from itself, so that the bodies are compared as text.
    if (!again || again->type_ != frame->type_ || again->id_ != frame->id_ || again->name_ != frame->name_
        || again->body_.dump() != frame->body_.dump()) {
        return 1;
    }
    return 0;
}

namespace {

std::vector<std::string> seedCorpus()
{
    const nlohmann::json body = {
        {"text", "ä€"}, {"n", -5}, {"f", 1.5}, {"list", {1, nullptr, true, {{"a", {}}}}}, {"big", 1ULL << 60U}};
    std::vector<std::string> result;
    for (const std::pair<PeerFrameType, std::string_view> &entry : NameTable<PeerFrameType>::entries) {
        result.push_back(encodePeerFrame(entry.first, 1, "forward", body));
    }
    result.push_back(encodePeerFrame(PeerFrameType::Part, ~0ULL, {}, nlohmann::json::binary({1, 2, 3})));
    result.push_back(std::string(300, '\x81'));
    result.push_back(std::string(300, '\xbf'));
    result.push_back("\xc1\x1a\x51\x4b\x67\xb0");
    return result;
}

std::string mutate(const std::string &seed, std::mt19937_64 &random)
{
    std::string result = seed;
    for (std::uint64_t changes = random() % 4 + 1; changes > 0 && !result.empty(); --changes) {
        const std::size_t position = random() % result.size();
        switch (random() % 4) {
        case 0:
            result[position] = static_cast<char>(random());
            break;
        case 1:
            result.resize(position);
            break;
        case 2:
            result.insert(position, 1, static_cast<char>(random()));
            break;
        default:
            result.insert(position, result.substr(random() % result.size(), random() % 16));
            break;
        }
    }
    return result;
}

} // namespace

// Guards against bytes from a peer that crash the process or decode to something that does not encode back.
TEST(PeerFrameFuzz, SeedCorpusAndMutations)
{
    std::mt19937_64 random(1);
    for (const std::string &seed : seedCorpus()) {
        for (int i = 0; i < 5000; ++i) {
            const std::string input = i == 0 ? seed : mutate(seed, random);
            ASSERT_EQ(LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size()), 0)
                << ::testing::PrintToString(input);
        }
    }
}

// Guards against an encoder whose frames its own parser refuses.
TEST(PeerFrameFuzz, EverySeedFrameIsAccepted)
{
    for (const std::pair<PeerFrameType, std::string_view> &entry : NameTable<PeerFrameType>::entries) {
        const std::string text(70'000, 'x');
        const std::optional<PeerFrame> frame = parsePeerFrame(encodePeerFrame(entry.first, 1'000'000, "n", text));
        ASSERT_TRUE(frame) << entry.second;
        EXPECT_EQ(frame->type_, entry.first);
        EXPECT_EQ(frame->id_, 1'000'000U);
        EXPECT_EQ(frame->body_, text);
    }
}
