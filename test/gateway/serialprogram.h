#ifndef FILBERTGW_TEST_GATEWAY_SERIALPROGRAM_H
#define FILBERTGW_TEST_GATEWAY_SERIALPROGRAM_H

#include "gatewayrig.h"

#include <memory>
#include <string>
#include <vector>

namespace filbertgw::test {

inline constexpr std::uint64_t turnTokens = 300; ///< The most that a turn generates; three events of 100 tokens.
inline constexpr std::uint64_t eventTokens = 100;
inline constexpr std::size_t eventsPerTurn = 3;

/** \brief Turns of one program, one after the other, each through another node. */
class SerialProgram
{
public:
    SerialProgram(std::size_t nodes, std::uint64_t budget)
        : rig_(nodes, {streamingRoute(false, 1, false)})
        , budget_(budget)
    {
        rig_.addEndpoints("engines", "e", 4);
        // Until the coordinators can't have forgotten a claim.
        rig_.run(std::chrono::seconds(11));
    }

    /** \brief Sends turns through the nodes from \p first on until one is answered 402 or the time has passed. */
    void run(Duration time, std::size_t first = 0)
    {
        const Time ends = rig_.queue_.now() + time;
        std::size_t node = first;
        while (rig_.queue_.now() < ends && !isSpent_) {
            turnAt(node++ % rig_.nodes_.size());
            rig_.run(std::chrono::milliseconds(10));
        }
    }

    /** \brief Runs one turn of another program, so that the ledger is not empty. */
    void runOtherProgram()
    {
        GatewayRequest request = turn("other", "other", "other");
        rig_.send(0, std::move(request));
        rig_.run(std::chrono::milliseconds(200));
        rig_.stream(played_++, std::vector<std::string>(eventsPerTurn, "x"), true);
        rig_.run(std::chrono::seconds(1));
    }

    /** \brief Sends one turn. \return true if it reached an endpoint. */
    bool turnAt(std::size_t node)
    {
        if (!rig_.nodes_[node]) {
            return false;
        }
        const std::shared_ptr<ClientResponse> response = send(node);
        waitForAttempt(response);
        isSpent_ = response->status_ == 402;
        if (rig_.attempts_.size() == played_) {
            rig_.run(std::chrono::milliseconds(50));
            return false;
        }
        rig_.stream(played_++, std::vector<std::string>(eventsPerTurn, "x"), true);
        tokens_ += turnTokens;
        rig_.run(std::chrono::milliseconds(50));
        return true;
    }

    /** \brief Sends a turn that still runs, with one event, when all nodes are killed. */
    void beginTurnAndKillAll(std::size_t node)
    {
        const std::shared_ptr<ClientResponse> response = send(node);
        waitForAttempt(response);
        if (rig_.attempts_.size() > played_) {
            rig_.stream(played_++, {"x"}, false);
            tokens_ += eventTokens;
        }
        killAll();
    }

    void killAll()
    {
        for (std::size_t node = 0; node < rig_.nodes_.size(); ++node) {
            rig_.kill(node);
        }
    }

    void restartAll()
    {
        for (std::size_t node = 0; node < rig_.nodes_.size(); ++node) {
            rig_.restart(node);
        }
        rig_.run(std::chrono::seconds(3));
    }

    /** \brief All nodes are killed; the store returns, and then they do. */
    void killAllInOutage()
    {
        killAll();
        rig_.store_.down_ = false;
        restartAll();
    }

    GatewayRig rig_;
    std::uint64_t tokens_ = 0; ///< Handed to the client.
    bool isSpent_ = false; ///< A turn was answered 402.

private:
    std::shared_ptr<ClientResponse> send(std::size_t node)
    {
        GatewayRequest request = turn("t" + std::to_string(++sent_), "p", "p");
        request.tokenBudget_ = budget_;
        return rig_.send(node, std::move(request));
    }

    void waitForAttempt(const std::shared_ptr<ClientResponse> &response)
    {
        for (int step = 0; step < 100 && rig_.attempts_.size() == played_ && response->status_ == 0; ++step) {
            rig_.run(std::chrono::milliseconds(20));
        }
    }

    std::uint64_t budget_;
    std::size_t sent_ = 0;
    std::size_t played_ = 0; ///< Attempts that were answered.
};

} // namespace filbertgw::test

#endif
