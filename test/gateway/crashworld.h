#ifndef FILBERTGW_TEST_GATEWAY_CRASHWORLD_H
#define FILBERTGW_TEST_GATEWAY_CRASHWORLD_H

#include "gatewayrig.h"

#include <random>
#include <string>
#include <vector>

namespace filbertgw::test {

struct CrashWorldSettings
{
    std::size_t nodes_ = 5;
    std::size_t engines_ = 14;
    RouteKind kind_ = RouteKind::Streaming;
    std::uint32_t maxAttempts_ = 1; ///< Of the route.
    double ordinaryPerSecond_ = 0.0; ///< Ordinary requests.
    bool variesBody_ = false; ///< Each attempt of a poison request has another body, and a path of its own.
    bool areAlike_ = false; ///< The ordinary requests have the same path and an empty body.
    bool crashesSilently_ = false; ///< A crashed endpoint answers nothing instead of refusing connections.
    double brokenShare_ = 0.0; ///< Share of the ordinary answers that break off although the endpoint lives on.
    std::uint64_t seed_ = 1;
};

/** \brief What became of the ordinary requests. */
struct OrdinaryResult
{
    int sent_ = 0;
    int served_ = 0;
    int quarantined_ = 0; ///< Refused as if they crashed endpoints.
};

/**
 * \brief Gateways before endpoints that crash as soon as they run a poison request, and whose clients try again.
 *
 * A crashed endpoint breaks off all its requests and refuses connections until it is back, with a new id or a new start
 * time. The registry drops an entry some seconds after its endpoint fell silent.
 */
class CrashWorld
{
public:
    explicit CrashWorld(CrashWorldSettings settings);

    /** \brief A client begins to send a poison request over and over, each time with a new id to a random node. */
    void startPoison(const std::string &body, Duration retryDelay);
    /** \brief Clients send no poison requests for some time. */
    void pausePoison(Duration time);
    void run(Duration time);
    /** \brief Lets no further ordinary requests arrive. */
    void stopArrivals();
    /** \brief Crashes a random endpoint, whatever it runs. */
    void crashAny();
    void restartNode(std::size_t node);
    void killNode(std::size_t node);
    /** \brief A node without connections to other nodes. */
    void isolateNode(std::size_t node, bool isolated);

    /** \brief Endpoints that ended under a poison request. */
    int crashes(const std::string &body) const;
    /**
     * \brief Attempts of a poison request that reached a live endpoint too late.
     *
     * Those count that a node in touch sent later than the contact time after the third endpoint had ended.
     */
    int lateAttempts(const std::string &body) const;
    const OrdinaryResult &ordinary() const;

    /** Time after a disruption from which a node counts as being in touch. */
    static constexpr Duration contactTime = std::chrono::seconds(3);

    GatewayRig rig_;
    std::set<std::size_t> nodesCutOff_; ///< Nodes whose connections to all endpoints break and can't be opened again.

private:
    struct Engine
    {
        Endpoint entry_;
        bool isUp_ = true;
        std::vector<std::size_t> running_; ///< Indices into the rig's attempts.
        std::uint64_t starts_ = 1;
    };
    struct Poison
    {
        std::string body_;
        Duration retryDelay_{0};
        int crashes_ = 0;
        int lateAttempts_ = 0;
        Time thirdCrashAt_{0};
    };
    struct Client
    {
        std::string body_;
        int tries_ = 0;
    };

    GatewayRequest request(const std::string &body);
    std::string targetOf(const std::string &prefix, const std::string &body) const;
    std::size_t randomNode();
    void sendPoison(const std::string &body);
    void arrive();
    void sendOrdinary(const std::shared_ptr<Client> &client);
    void onAttempt(std::size_t attempt);
    void begin(Engine &engine, std::size_t attempt);
    void finish(Engine &engine, std::uint64_t start, std::size_t attempt);
    void crash(Engine &engine);
    void comeBack(Engine &engine);
    Engine &engineAt(const std::string &address);
    Poison *findPoison(const std::string &body);
    bool isInTouch(std::size_t node) const;
    double uniform();

    CrashWorldSettings settings_;
    std::mt19937_64 random_;
    std::vector<Engine> engines_;
    std::vector<Poison> poisons_;
    std::vector<Time> disturbedAt_; ///< By node; the last time at which it was not in touch.
    OrdinaryResult ordinary_;
    Time poisonPausedUntil_{0};
    std::uint64_t requests_ = 0;
    bool arrivalsStopped_ = false;
};

} // namespace filbertgw::test

#endif
