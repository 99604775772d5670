#ifndef FILBERTGW_TEST_ACCOUNTS_QUOTAFLEET_H
#define FILBERTGW_TEST_ACCOUNTS_QUOTAFLEET_H

#include "accounts/quotacontroller.h"
#include "fakes/eventqueue.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace filbertgw::test {

/** \brief Load of one account. */
struct QuotaLoad
{
    std::string account_;
    QuotaLimit limit_;
    double programsPerSecond_ = 0.0;
    int requestsPerProgram_ = 1;
    int maxTries_ = 1; ///< Of a request that is refused; each at another node, after the Retry-After.
};

/** \brief What became of an account's requests and programs. */
struct QuotaOutcome
{
    std::vector<Time> runs_; ///< When a request was sent to an engine.
    int refused_ = 0; ///< Requests whose last try was refused.
    int lost_ = 0; ///< Tries that were refused although the requests that ran had left room within the limit.
    int programs_ = 0; ///< Ended ones.
    int finished_ = 0; ///< Programs all of whose requests ran.

    /** \brief Most runs in any window. */
    std::size_t mostWithin(Duration window) const;
    std::size_t runsBetween(Time from, Time to) const;
};

/**
 * \brief QuotaControllers in virtual time, with nodes that are killed, frozen, partitioned and added.
 *
 * Reports are modelled: a node knows when it last saw another one, and takes it to be alive for 1 s after that.
 */
class QuotaFleet
{
public:
    explicit QuotaFleet(std::size_t nodes, std::uint64_t seed = 1);
    ~QuotaFleet();

    void addLoad(const QuotaLoad &load);
    void setLoad(const std::string &account, double programsPerSecond);
    /** \brief Ends the arrivals of all accounts. */
    void endLoads();
    void setLimit(const std::string &account, const QuotaLimit &limit);
    void run(Duration time);

    /** \param silently connections to the node time out, as if its VM were gone; otherwise they are refused */
    void kill(std::size_t node, bool silently = false);
    void start(std::size_t node);
    void add();
    void freeze(std::size_t node);
    void resume(std::size_t node);
    /** \brief Requests of other nodes reach the node after up to \p delay. */
    void setSlow(std::size_t node, Duration delay);
    /** \brief Nodes of different groups don't reach each other; 0 at the start. */
    void setGroup(std::size_t node, int group);
    /** \brief Rank by which a node coordinates an account if all are alive, 0 for the coordinator. */
    std::size_t nodeOfRank(const std::string &account, std::size_t rank) const;
    std::size_t size() const;

    const QuotaOutcome &outcome(const std::string &account) const;
    bench::EventQueue queue_;
    std::uint64_t messages_ = 0; ///< Requests to other nodes.
    std::uint64_t messageBytes_ = 0; ///< Of these and their answers, as JSON text.

private:
    struct Node;
    struct Account
    {
        QuotaLoad load_;
        QuotaOutcome outcome_;
        std::uint64_t arrivals_ = 0; ///< Number of the present sequence of arrivals.
        QuotaBucket unused_{0.0, Time{0}}; ///< What the limit leaves after the requests that ran; may be negative.
    };
    struct Request
    {
        Account *account_ = nullptr;
        int number_ = 0; ///< Within its program.
        int tries_ = 0;
    };

    std::unique_ptr<QuotaController> makeController(std::size_t node);
    std::vector<QuotaNode> view(std::size_t node, Duration window) const;
    Time lastSeenAt(std::size_t at, std::size_t of) const;
    bool reaches(std::size_t from, std::size_t to) const;
    void tick(std::size_t node, std::uint64_t starts);
    void atNode(std::size_t node, std::function<void()> action);
    void arrive(Account &account, std::uint64_t arrivals);
    void send(const std::shared_ptr<Request> &request);
    void decided(std::size_t node, const std::shared_ptr<Request> &request, const QuotaDecision &decision);
    void ended(const std::shared_ptr<Request> &request, bool hasRun);
    std::size_t liveNode();

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::deque<Account> accounts_;
};

} // namespace filbertgw::test

#endif
