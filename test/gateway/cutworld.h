#ifndef FILBERTGW_TEST_GATEWAY_CUTWORLD_H
#define FILBERTGW_TEST_GATEWAY_CUTWORLD_H

#include "gatewayrig.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace filbertgw::test {

/** \brief What happens to the connections of a node that is cut off from all endpoints. */
enum class CutForm : std::uint8_t {
    Silent, ///< All of them hang.
    Refused, ///< Open ones are reset, new ones refused.
    KeptLiveOn, ///< Open ones live on, new ones are refused.
};

struct CutWorldSettings
{
    std::size_t nodes_ = 12;
    std::size_t engines_ = 12;
    double requestsPerSecond_ = 120.0;
    RouteKind kind_ = RouteKind::Streaming;
    std::uint64_t seed_ = 1;
};

/** \brief First tries of clients, at some nodes. */
struct FirstTries
{
    int sent_ = 0;
    int served_ = 0;

    int failed() const
    {
        return sent_ - served_;
    }
    double share() const
    {
        return sent_ > 0 ? static_cast<double>(served_) / sent_ : 1.0;
    }
};

/**
 * \brief Gateways of which some are cut off from all endpoints, while clients, the store and other nodes reach them.
 *
 * Tries count from the contact time after the begin of a cut to its end.
 */
class CutWorld
{
public:
    explicit CutWorld(CutWorldSettings settings);

    void run(Duration time);
    /** \brief Cuts nodes off from all endpoints for some time, and runs for as long. */
    void cut(const std::vector<std::size_t> &nodes, CutForm form, Duration time);
    /** \brief All endpoints answer nothing for some time, which is no cut. */
    void silenceEndpoint(std::size_t endpoint, Duration time);
    /** \brief Ends an endpoint and starts it again under another id. */
    void replaceEndpoint(std::size_t endpoint);

    const FirstTries &atCutNodes() const;
    const FirstTries &atOtherNodes() const;
    /** \brief Requests that ran more than once. */
    int repeated() const;
    /** \brief Refusals that promise that the request has not run, though it did. */
    int falseRefusals() const;
    /** \brief Requests refused because endpoints are taken to end under them. */
    int quarantined() const;

    GatewayRig rig_;

private:
    struct Sent
    {
        std::shared_ptr<ClientResponse> response_;
        std::string id_;
        bool isCounted_ = false;
        bool wasAtCutNode_ = false;
    };

    void arrive();
    void judge(const Sent &sent);
    void onAttempt(std::size_t attempt);
    void startAttempt(std::size_t attempt);
    void answer(std::size_t attempt);
    bool hasKeptConnection(std::size_t node, const std::string &address) const;
    double uniform();

    CutWorldSettings settings_;
    std::mt19937_64 random_;
    std::vector<Endpoint> engines_;
    std::map<std::size_t, CutForm> cuts_; ///< By node.
    std::map<std::size_t, Time> cutAt_;
    std::map<std::string, Time> silentUntil_; ///< By address.
    std::set<std::pair<std::size_t, std::string>> kept_; ///< Nodes and addresses with an open connection.
    std::map<std::string, int> runs_; ///< By request.
    FirstTries atCutNodes_;
    FirstTries atOtherNodes_;
    int falseRefusals_ = 0;
    int quarantined_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t starts_ = 0;
};

} // namespace filbertgw::test

#endif
