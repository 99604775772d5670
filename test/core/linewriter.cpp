#include "core/linewriter.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <array>
#include <cerrno>

namespace filbertgw {

namespace {

constexpr std::size_t lineBytes = 100;

} // namespace

// Guards against a process that blocks or uses unbounded memory when nothing reads its log.
TEST(LineWriter, FullPipeNeitherBlocksNorGrows)
{
    std::array<int, 2> pipe{};
    ASSERT_EQ(::pipe(pipe.data()), 0);
    Time now{0};
    LineWriterSettings settings;
    settings.queueBytes_ = 10'000;
    LineWriter writer(
        LineWriter::toDescriptor(pipe[1]), [&now] { return now; }, settings);
    for (int i = 0; i < 5000; ++i) {
        writer.add(std::string(lineBytes, 'x'), true);
        writer.flush();
    }
    EXPECT_LE(writer.queuedBytes(), settings.queueBytes_);
    EXPECT_GT(writer.droppedLines(), 0U);
    // Once the pipe is read again, the number of dropped lines is written.
    std::string received;
    std::array<char, 65'536> buffer{};
    for (int i = 0; i < 3; ++i) {
        const ssize_t size = ::read(pipe[0], buffer.data(), buffer.size());
        received.append(buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        writer.flush();
        writer.add("last", true);
        writer.flush();
    }
    EXPECT_NE(received.find("event=log_lines_left_out count="), std::string::npos);
    ::close(pipe[0]);
    ::close(pipe[1]);
}

// Guards against a log volume that grows with the load, and against failures that are dropped in favour of successes.
TEST(LineWriter, RateLimitsOrdinaryLinesOnly)
{
    std::string written;
    Time now{0};
    LineWriterSettings settings;
    settings.burstBytes_ = 1000;
    settings.bytesPerSecond_ = 1000;
    LineWriter writer(
        [&written](const char *bytes, std::size_t size) {
            written.append(bytes, size);
            return static_cast<long>(size);
        },
        [&now] { return now; },
        settings);
    for (int i = 0; i < 100; ++i) {
        writer.add(std::string(lineBytes - 1, 'o'), false);
    }
    writer.add("failure", true);
    writer.flush();
    EXPECT_LE(written.size(), 1200U);
    EXPECT_NE(written.find("failure"), std::string::npos);
    now += std::chrono::seconds(1);
    written.clear();
    for (int i = 0; i < 100; ++i) {
        writer.add(std::string(lineBytes - 1, 'o'), false);
    }
    writer.flush();
    EXPECT_GE(written.size(), 800U);
    EXPECT_LE(written.size(), 1200U);
}

} // namespace filbertgw
