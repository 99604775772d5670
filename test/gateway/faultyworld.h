#ifndef FILBERTGW_TEST_GATEWAY_FAULTYWORLD_H
#define FILBERTGW_TEST_GATEWAY_FAULTYWORLD_H

#include "gatewayrig.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace filbertgw::test {

/** \brief How an endpoint fails a request that it gets. */
enum class FaultForm : std::uint8_t {
    Reset, ///< The connection is reset.
    Error, ///< It answers 500.
    Silent, ///< No answer comes.
};

struct FaultyWorldSettings
{
    std::size_t nodes_ = 12;
    std::size_t endpoints_ = 24;
    double callsPerEndpoint_ = 15.0; ///< A second, in the mean.
    std::uint64_t seed_ = 1;
};

/** \brief Programs of some size, and how many of them ended with all their calls served. */
struct ProgramCount
{
    int all_ = 0;
    int served_ = 0;

    double share() const
    {
        return all_ > 0 ? static_cast<double>(served_) / all_ : 1.0;
    }
};

/**
 * \brief Gateways whose clients run programs of 3 to 90 calls, before plain endpoints of which some fail requests.
 *
 * Four in five calls are idempotent: the gateways may send them to two endpoints, and the client sends them once more
 * through another node. A program fails with its first call that fails.
 */
class FaultyWorld
{
public:
    explicit FaultyWorld(FaultyWorldSettings settings);

    /** \brief For some time, endpoints from \p first on fail a share of their requests. */
    void spell(std::size_t first, std::size_t count, double share, FaultForm form, Duration time);
    /** \brief For some time, a node reaches no endpoint: its connections are refused. */
    void cutNode(std::size_t node, Duration time);
    void run(Duration time);

    ProgramCount programs() const;
    /** \brief The tenth of the programs with the most calls. */
    ProgramCount largestPrograms() const;
    /** \brief Tries of clients whose outcome is unknown: 502, 504, or nothing within the client's time. */
    int lost() const;
    /** \brief Requests that endpoints got, by endpoint. */
    const std::map<std::string, int> &arrivals() const;
    void resetArrivals();

    GatewayRig rig_;

private:
    struct Program
    {
        int calls_ = 0;
        int served_ = 0;
        bool failed_ = false;
    };
    struct Fault
    {
        double share_ = 0.0;
        FaultForm form_ = FaultForm::Reset;
    };

    void beginProgram();
    void call(const std::shared_ptr<Program> &program);
    void sendTry(const std::shared_ptr<Program> &program, bool isIdempotent, int triesLeft);
    void judge(const std::shared_ptr<Program> &program,
               const std::shared_ptr<ClientResponse> &response,
               bool isIdempotent,
               int triesLeft);
    void onAttempt(std::size_t attempt);
    double uniform();

    FaultyWorldSettings settings_;
    std::mt19937_64 random_;
    std::vector<std::shared_ptr<Program>> programs_;
    std::map<std::string, Fault> faults_; ///< By address.
    std::map<std::size_t, bool> cutNodes_;
    std::map<std::string, int> arrivals_;
    std::uint64_t requests_ = 0;
    int lost_ = 0;
};

} // namespace filbertgw::test

#endif
