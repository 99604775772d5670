#include "gatewayfleet.h"
#include "hostileclient.h"
#include "net/httpserver.h"
#include "platformstore.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace filbertgw::testing {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t bodyBytes = 4 * megabyte; ///< The limit on a body.
constexpr std::size_t shortOf = 2 * 1024; ///< Missing bytes of a body that stops short of its end.
constexpr std::size_t chunkBytes = 16 * 1024;
constexpr std::uint32_t memoryMb = 88; ///< Of the smallest VM.
constexpr std::uint32_t descriptors = 1024;
constexpr std::size_t connectionsPerClient = 3;
constexpr std::size_t engineHost = 100;
constexpr std::size_t storeHost = 200;
constexpr std::size_t answerBytes = 3 * megabyte; ///< Of the response to `/large`.
constexpr Duration samplePeriod{20'000};
constexpr Duration longestCrowd{12'000'000}; ///< Ends the sending; the checks follow in any case.
constexpr Duration startLimit{30'000'000};
constexpr int quietSamples = 15; ///< The node has read all that was sent when it uses no processor time for so long.
constexpr long quietTicks = 2; ///< Processor time for its timers in these samples.
constexpr Duration longestReading{20'000'000};

enum class Door : std::uint8_t {
    Client,
    Forward,
    Readiness,
};

const char *nameOf(Door door)
{
    const char *const names[] = {"Client", "Forward", "Readiness"};
    return names[static_cast<std::size_t>(door)];
}

std::size_t fromEnvironment(const char *name, std::size_t standard)
{
    const char *text = std::getenv(name);
    return text == nullptr ? standard : std::strtoul(text, nullptr, 10);
}

std::string headOf(const std::string &headers)
{
    return "POST /small HTTP/1.1\r\nHost: h\r\nX-Filbertgw-Attempt-Id: hostile\r\n" + headers;
}

std::vector<HostileForm> forms()
{
    const std::string chunked = headOf("Transfer-Encoding: chunked\r\n\r\n");
    const std::string large(chunkBytes, 'x');
    const std::string largeChunk = "4000\r\n" + large + "\r\n";
    const std::string smallChunk = "1\r\nx\r\n";
    const std::string many(chunkBytes, 'a');
    const std::string unread = "GET /large HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string pipelined = "GET /none HTTP/1.1\r\nHost: h\r\nX-Filbertgw-Attempt-Id: hostile\r\n\r\n";
    const std::string state = "GET /state HTTP/1.1\r\nHost: h\r\n\r\n";
    return {
        {"HeadOverLimit", headOf("X-Long: " + std::string(100'000, 'a') + "\r\n\r\n"), {}, 0},
        {"HeadWithoutEnd", headOf(""), "X-Name: value\r\n", 2 * megabyte},
        {"EmptyLines", "\r\n", "\r\n", 2 * megabyte},
        {"LargeChunks", chunked, largeChunk, (bodyBytes - shortOf) / chunkBytes * largeChunk.size()},
        {"OneByteChunks", chunked, smallChunk, (bodyBytes - shortOf) * smallChunk.size()},
        {"Length", headOf("Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"), large, bodyBytes - shortOf},
        {"AnnouncedOverLimit", headOf("Content-Length: 67108864\r\n\r\n"), large, 16 * megabyte},
        {"SentOverLimit", chunked, largeChunk, 16 * megabyte},
        {"ChunkExtension", chunked + "5;", many, 2 * megabyte},
        {"ManyExtensions", chunked, "1;" + std::string(1000, 'a') + "\r\nx\r\n", 16 * megabyte},
        {"Trailers", chunked + "0\r\n", "X-Name: value\r\n", 2 * megabyte},
        {"Pipelined", pipelined, pipelined, megabyte / 8, false},
        {"PipelinedState", state, state, megabyte / 2, false},
        {"UnreadResponses", unread + unread, unread, 4 * unread.size(), false},
    };
}

struct CrowdCase
{
    Door door_;
    HostileForm form_;

    friend std::ostream &operator<<(std::ostream &out, const CrowdCase &crowd)
    {
        return out << nameOf(crowd.door_) << crowd.form_.name_;
    }
};

std::vector<CrowdCase> cases()
{
    std::vector<CrowdCase> all;
    for (const Door door : {Door::Client, Door::Forward, Door::Readiness}) {
        for (const HostileForm &form : forms()) {
            // The state is served at one door only, and large responses at the others.
            const bool isElsewhere = form.name_ == (door == Door::Readiness ? "UnreadResponses" : "PipelinedState");
            if (isElsewhere) {
                continue;
            }
            all.push_back({door, form});
        }
    }
    return all;
}

/** \brief A gateway process beside a store and an engine in this one. */
class HostileCrowd : public ::testing::TestWithParam<CrowdCase>
{
protected:
    HostileCrowd()
    {
        std::filesystem::create_directories(directory_);
        const std::string storeAddress = ports_.address(storeHost, ports_.store_);
        store_.listen(storeAddress);
        const nlohmann::json routes{{{"name", "r"},
                                     {"host", "h"},
                                     {"path_prefix", "/"},
                                     {"type", "idempotent"},
                                     {"timeout_ms", 4000},
                                     {"max_attempts", 2},
                                     {"service", "s"}}};
        store_.put(
            "keyed.op",
            "config",
            nlohmann::json{{"version", 1}, {"services", {{{"name", "s"}, {"max_conns", 400}}}}, {"routes", routes}}
                .dump());
        const std::string engine = ports_.address(engineHost, ports_.engine_);
        HttpLimits engineLimits;
        engineLimits.bodyBytes_ = 2 * bodyBytes;
        engineLimits.writeBufferBytes_ = 2 * bodyBytes;
        engine_ = *HttpServer::listen(loop_, engine, engineLimits, [](const auto &request, const auto &reply) {
            const auto id = request.headers_.find("x-filbertgw-attempt-id");
            reply->setHeader("X-Filbertgw-Attempt-Id", id == request.headers_.end() ? "" : id->second);
            reply->setHeader("X-Filbertgw-Response-Stamp", "s");
            reply->send(200, "text/plain", request.target_ == "/large" ? std::string(answerBytes, 'x') : "hi");
        });
        const nlohmann::json entry{{"service", "s"},
                                   {"address", engine},
                                   {"zone", "za"},
                                   {"version", "v"},
                                   {"slots", 64},
                                   {"state", "ready"},
                                   {"sequence", 1}};
        store_.put("keyed.servers", "e1", entry.dump());
        const char *program = std::getenv("FILBERTGW_GATEWAY_PROGRAM");
        fleet_ = std::make_unique<GatewayFleet>(
            loop_, ports_, directory_, program == nullptr ? "" : program, std::vector<std::string>{storeAddress});
        fleet_->setLimits(memoryMb, descriptors);
    }
    ~HostileCrowd() override
    {
        for (const std::shared_ptr<HostileClient> &client : crowd_) {
            client->stop();
        }
        fleet_.reset();
        if (!HasFailure()) {
            std::filesystem::remove_all(directory_);
        }
    }

    bool runUntil(const std::function<bool()> &done, Duration limit, Duration period = samplePeriod)
    {
        bool gaveUp = false;
        const std::uint64_t end = loop_.after(limit, [this, &gaveUp] {
            gaveUp = true;
            loop_.stop();
        });
        const std::uint64_t check = loop_.every(period, [this, &done] {
            if (done()) {
                loop_.stop();
            }
        });
        loop_.run();
        loop_.cancel(end);
        loop_.cancel(check);
        return !gaveUp;
    }

    bool startNode()
    {
        fleet_->start(0);
        const std::shared_ptr<bool> isReady = std::make_shared<bool>(false);
        return runUntil(
            [this, isReady] {
                fleet_->askReadiness(0, [isReady](bool ready) { *isReady = *isReady || ready; });
                return *isReady;
            },
            startLimit);
    }

    HostileClient::Tcp::endpoint target() const
    {
        const std::uint16_t ports[] = {
            ports_.client_, static_cast<std::uint16_t>(ports_.firstPeer_ + 2), ports_.readiness_};
        return {boost::asio::ip::make_address(ports_.host(1)), ports[static_cast<std::size_t>(GetParam().door_)]};
    }

    /** \brief Highest resident memory of the node so far, in bytes. */
    std::size_t peakMemory() const
    {
        std::ifstream status("/proc/" + std::to_string(fleet_->pid(0)) + "/status");
        std::string word;
        while (status >> word) {
            if (word == "VmHWM:") {
                std::size_t kilobytes = 0;
                status >> kilobytes;
                return kilobytes * 1024;
            }
        }
        return 0;
    }

    std::size_t openDescriptors() const
    {
        std::error_code error;
        const std::filesystem::directory_iterator all("/proc/" + std::to_string(fleet_->pid(0)) + "/fd", error);
        return error ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
    }

    /** \brief Sends a request as an ordinary client does. \return the status, 0 without a response. */
    int askOnce(std::size_t size)
    {
        const std::shared_ptr<int> status = std::make_shared<int>(-1);
        HttpCall call;
        call.address_ = fleet_->clientAddress(0);
        call.request_ = {"POST",
                         "/small",
                         {{"host", "h"}, {"x-filbertgw-attempt-id", "a" + std::to_string(++asked_)}},
                         std::string(size, 'b')};
        call.mayReuse_ = false;
        call.timeout_ = startLimit;
        call.onDone_ = [status](const HttpResult &result) {
            *status = result.outcome_ == HttpOutcome::Complete ? result.status_ : 0;
        };
        http_.start(std::move(call));
        runUntil([status] { return *status >= 0; }, startLimit, Duration{1'000});
        return *status;
    }

    void sendCrowd(std::size_t clients)
    {
        for (std::size_t i = 0; i < clients; ++i) {
            crowd_.push_back(std::make_shared<HostileClient>(loop_, target(), GetParam().form_, connectionsPerClient));
            crowd_.back()->start();
        }
        runUntil(
            [this] {
                mostDescriptors_ = std::max(mostDescriptors_, openDescriptors());
                return std::all_of(crowd_.begin(), crowd_.end(), [](const auto &client) { return client->hasEnded(); });
            },
            longestCrowd);
        waitUntilRead();
        mostDescriptors_ = std::max(mostDescriptors_, openDescriptors());
    }

    /** \brief Processor time of the node in clock ticks. */
    long usedTicks() const
    {
        std::ifstream file("/proc/" + std::to_string(fleet_->pid(0)) + "/stat");
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
        std::string skipped;
        for (int i = 0; i < 11; ++i) {
            fields >> skipped;
        }
        long user = 0;
        long system = 0;
        fields >> user >> system;
        return user + system;
    }

    /** \brief Waits until the node has read what the kernel holds for it, as its use of the processor shows. */
    void waitUntilRead()
    {
        std::deque<long> ticks;
        runUntil(
            [this, &ticks] {
                ticks.push_back(usedTicks());
                if (ticks.size() > quietSamples) {
                    ticks.pop_front();
                }
                return ticks.size() == quietSamples && ticks.back() - ticks.front() <= quietTicks;
            },
            longestReading);
    }

    IoLoop loop_;
    HttpClient http_{loop_};
    const DeploymentPorts ports_ = findPorts();
    const std::string directory_ =
        ::testing::TempDir() + "filbertgw-crowd-" + std::to_string(getpid()) + '-' + GetParam().form_.name_;
    PlatformStore store_{loop_};
    std::unique_ptr<HttpServer> engine_;
    std::unique_ptr<GatewayFleet> fleet_;
    std::vector<std::shared_ptr<HostileClient>> crowd_;
    std::size_t mostDescriptors_ = 0;
    std::size_t asked_ = 0;
};

} // namespace

// Guards against a crowd of connections that fills a small VM's memory or descriptors, or shuts out other clients.
TEST_P(HostileCrowd, LeavesMemoryForOthers)
{
    const std::size_t clients = fromEnvironment("FILBERTGW_CROWD", 48);
    const std::size_t requests = fromEnvironment("FILBERTGW_CROWD_REQUESTS", 1);
    const Time began = loop_.now();
    ASSERT_TRUE(startNode());
    const Time ready = loop_.now();
    sendCrowd(clients);
    const Time sent = loop_.now();
    const long ticks = usedTicks();
    std::size_t served = 0;
    for (std::size_t i = 0; i < requests; ++i) {
        served += askOnce(1024) == 200 ? 1 : 0;
    }
    EXPECT_TRUE(fleet_->isRunning(0));
    EXPECT_EQ(served, requests);
    EXPECT_LT(peakMemory(), memoryMb * megabyte);
    EXPECT_LT(mostDescriptors_, descriptors);
    std::cout << "crowd door=" << nameOf(GetParam().door_) << " form=" << GetParam().form_.name_
              << " clients=" << clients << " peak_mb=" << double(peakMemory()) / double(megabyte)
              << " descriptors=" << mostDescriptors_ << " served=" << served << '/' << requests
              << " start_s=" << toSeconds(ready - began) << " crowd_s=" << toSeconds(sent - ready)
              << " request_ticks=" << usedTicks() - ticks << std::endl;
}

INSTANTIATE_TEST_SUITE_P(Table, HostileCrowd, ::testing::ValuesIn(cases()), [](const auto &info) {
    return std::string(nameOf(info.param.door_)) + info.param.form_.name_;
});

/** \brief Sizes of single requests that are within the limits. */
class HostileCrowdCalm : public HostileCrowd
{
};

// Guards against a memory limit that refuses a single large request, although nothing else is held.
TEST_P(HostileCrowdCalm, ServesTheLargestRequest)
{
    ASSERT_TRUE(startNode());
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(askOnce(bodyBytes), 200);
    }
    EXPECT_LT(peakMemory(), memoryMb * megabyte);
}

INSTANTIATE_TEST_SUITE_P(Single,
                         HostileCrowdCalm,
                         ::testing::Values(CrowdCase{Door::Client, HostileForm{"LargestBody", {}, {}, 0}}));

} // namespace filbertgw::testing
