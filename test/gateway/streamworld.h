#ifndef FILBERTGW_TEST_GATEWAY_STREAMWORLD_H
#define FILBERTGW_TEST_GATEWAY_STREAMWORLD_H

#include "gatewayrig.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace filbertgw::test {

struct StreamWorldSettings
{
    std::size_t nodes_ = 12;
    std::size_t engines_ = 12;
    std::uint32_t maxAttempts_ = 1; ///< Of the route.
    double streamsPerSecond_ = 60.0;
    Duration crashPeriod_{600'000}; ///< Between two crashes of engines.
    std::uint64_t seed_ = 1;
};

/** \brief What became of the streams. */
struct StreamResult
{
    int begun_ = 0; ///< New streams sent to nodes in touch.
    int beganEvents_ = 0; ///< Those of which the client got an event.
    int takenUp_ = 0; ///< Tries to take a stream up, at nodes in touch, while two engines of its version serve.
    int wentOn_ = 0; ///< Those of which the client got another event.
    int brokenOff_ = 0; ///< Attempts that broke off at their engine after an event.
    int mixed_ = 0; ///< Streams with events of two versions.
    int disordered_ = 0; ///< Streams in which an event is missing or comes twice.
};

/**
 * \brief Gateways before engines of several versions, with clients that take a broken stream up at any node.
 *
 * Each event holds the version of the engine that made it. Engines crash now and then and come back with a new id at
 * the same version; a release replaces them one after the other.
 */
class StreamWorld
{
public:
    explicit StreamWorld(StreamWorldSettings settings);

    void run(Duration time);
    /** \brief Replaces engines one at a time by ones of another version, every \p gap. */
    void release(const std::string &version, std::size_t count, Duration gap);
    /** \brief Kills a node; its clients see their connections reset. */
    void killNode(std::size_t node);
    /** \brief Kills nodes and starts them again after \p downTime. */
    void killNodes(const std::vector<std::size_t> &nodes, Duration downTime);
    /** \brief Separates a node from the other nodes, or joins it again. */
    void isolateNode(std::size_t node, bool isolated);
    /** \brief Cuts a node from the registry and the store, or joins it again. */
    void cutStore(std::size_t node, bool cut);
    std::size_t nodes() const;
    std::size_t engines() const;
    const StreamResult &result() const;

    GatewayRig rig_;

private:
    struct Engine
    {
        Endpoint entry_;
        bool isUp_ = true;
    };
    struct Client
    {
        std::string first_; ///< Attempt that brought the first event.
        std::string version_; ///< Of the first event.
        std::uint64_t events_ = 0;
        int tries_ = 0;
        Time deadline_{0};
        bool isMixed_ = false;
        bool isDisordered_ = false;
    };
    /** \brief One request of a client. */
    struct Try
    {
        std::string id_;
        std::size_t node_ = 0;
        std::shared_ptr<Client> client_;
        std::shared_ptr<ClientResponse> response_;
        std::size_t readBytes_ = 0;
        bool isCounted_ = false; ///< Among the streams that are taken up, or the new ones.
        bool isTakenUp_ = false;
        bool hasEvent_ = false;
        bool isOver_ = false;
    };

    void arrive();
    void send(const std::shared_ptr<Client> &client);
    void poll(const std::shared_ptr<Try> &attempt);
    void readEvents(Try &attempt);
    void tryAgain(const std::shared_ptr<Try> &attempt);
    void onAttempt(std::size_t attempt);
    void sendEvent(const std::string &engine, std::size_t attempt, std::uint64_t next);
    void crashAny();
    void crash(Engine &engine);
    void comeBack(std::size_t engine);
    void replaceNext(const std::string &version, std::size_t left, Duration gap);
    Engine *findEngine(const std::string &id);
    std::size_t servingEngines(const std::string &version) const;
    bool isInTouch(std::size_t node) const;
    std::size_t randomNode();
    double uniform();

    StreamWorldSettings settings_;
    std::mt19937_64 random_;
    std::vector<Engine> engines_;
    std::set<std::string> crashed_; ///< Ids of engines that crashed or left.
    std::vector<Time> disturbedAt_; ///< By node; the last time at which it was not in touch.
    std::set<std::size_t> disturbed_; ///< Nodes that are not in touch until they are joined again.
    StreamResult result_;
    std::uint64_t requests_ = 0;
    std::uint64_t starts_ = 0;
    std::size_t nextReplaced_ = 0;
};

} // namespace filbertgw::test

#endif
