#ifndef FILBERTGW_ENDPOINTS_CRASHDETECTOR_H
#define FILBERTGW_ENDPOINTS_CRASHDETECTOR_H

#include "routing/gatewaytypes.h"
#include "routing/requestfingerprint.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertgw {

/** \brief What shows that an endpoint has ended. */
enum class CrashEvidence : std::uint8_t {
    Unreachable, ///< It refuses connections after an attempt broke off.
    Replaced, ///< Another incarnation answers at its address.
    Registry, ///< Its entry was removed, or names a later start.
};

template<>
struct NameTable<CrashEvidence>
{
    static constexpr std::array<std::pair<CrashEvidence, std::string_view>, 3> entries{{
        {CrashEvidence::Unreachable, "unreachable"},
        {CrashEvidence::Replaced, "replaced"},
        {CrashEvidence::Registry, "registry"},
    }};
};

struct CrashDetectorSettings
{
    Duration evidenceWindow_{8'000'000}; ///< Evidence counts for attempts that failed up to this time before.
};

struct CrashDetectorHooks
{
    Clock now_;
    /** \brief Opens a connection to the endpoint; reports whether that succeeded. */
    std::function<void(const Endpoint &endpoint, std::function<void(bool isReachable)> done)> probe_;
    /** \brief Reports whether this node reaches any endpoint other than \p suspect; may be empty if it always does. */
    std::function<void(const Endpoint &suspect, std::function<void(bool isPathUp)> done)> checkPath_;
    /** \brief An endpoint has ended; \p requests are the fingerprints of what it ran for this node. */
    std::function<void(const std::string &incarnation, const std::vector<RequestFingerprints> &requests)> onCrash_;
    std::function<void(const std::string &event, const nlohmann::json &fields)> logEvent_;
};

/**
 * \brief Finds out which endpoints ended, and which requests of this node they ran then.
 *
 * A connection that breaks is no proof: answers are lost and connections are reset while their endpoint lives on. Proof
 * is that the endpoint refuses connections afterwards while other endpoints accept them, that another incarnation
 * answers, or what the registry says. It may arrive seconds later, so failed attempts are remembered for some time.
 * Each incarnation is reported once, so that a node without a network adds at most one crash to each of its requests.
 */
class CrashDetector
{
public:
    CrashDetector(CrashDetectorHooks hooks, CrashDetectorSettings settings);

    /** \brief An attempt begins. \return a number for attemptEnded(). */
    std::uint64_t attemptStarted(const Endpoint &endpoint, std::shared_ptr<const GatewayRequest> request);
    void attemptEnded(std::uint64_t attempt, AttemptEnd ended);
    /** \brief There is proof that an incarnation has ended. */
    void endpointEnded(const std::string &incarnation, CrashEvidence evidence);
    /** \brief Forgets failed attempts that are too old. */
    void expire();

private:
    struct Attempt
    {
        std::shared_ptr<const GatewayRequest> request_; ///< Null once the attempt has failed.
        RequestFingerprints fingerprints_; ///< Set once the attempt has failed.
        std::optional<Time> failedAt_;
    };
    struct Incarnation
    {
        Endpoint endpoint_;
        std::map<std::uint64_t, Attempt> attempts_; ///< Running ones, and those that failed lately.
        bool isProbed_ = false; ///< A probe is under way.
    };

    void probe(const std::string &incarnation);
    void probed(const std::string &incarnation, bool isReachable);
    /** \brief The endpoint refuses connections: ended if the path to endpoints is up. */
    void pathChecked(const std::string &incarnation, bool isPathUp);

    CrashDetectorHooks hooks_;
    CrashDetectorSettings settings_;
    std::unordered_map<std::string, Incarnation> incarnations_;
    std::unordered_map<std::uint64_t, std::string> incarnationOf_; ///< By number of a running attempt.
    std::unordered_map<std::string, Time> ended_; ///< Incarnations known to have ended, and when that was found.
    std::uint64_t attempts_ = 0;
};

} // namespace filbertgw

#endif
