#ifndef FILBERTGW_TEST_NODE_PROCESSFLEET_H
#define FILBERTGW_TEST_NODE_PROCESSFLEET_H

#include "processes.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw::testing {

/** \brief Nodes and stand-ins as real processes on a loopback address of their own. */
class ProcessFleet
{
public:
    ProcessFleet();
    ~ProcessFleet();

    /** \brief Starts the log, two engines, a tool and nodes, publishes the configuration and waits until all are ready.
     */
    void start(int nodes);
    void
    startStandin(const std::string &name, const std::string &kind, int port, const std::vector<std::string> &flags);
    void startNode(int number);
    bool isReady(int number) const;

    Process &node(int number);
    Process &standin(const std::string &name);
    std::string http(int number) const;
    std::string toolAddress() const;
    /** \brief Runs `filbertgw publish --wait` over all nodes. \return its exit status. */
    int publish(const std::string &path) const;
    std::string nodeName(int number) const;
    /** \brief The number of the node with a name. */
    int numberOf(const std::string &name) const;

    /** \brief Creates a program at a node. \return its id. */
    std::string create(int number) const;
    /** \brief Sends a call to a node. */
    Response call(int number, const std::string &program, const nlohmann::json &body) const;
    nlohmann::json modelCall(const std::string &request, const std::string &input) const;

    static constexpr const char *callerKey = "office.caller-key-0001";
    static constexpr const char *otherKey = "other.caller-key-0002";
    static constexpr const char *operatorKey = "operator-key-0003";
    static constexpr const char *peerKey = "peer-key-00000004";
    static constexpr int enginePort = 7100;

    std::string directory_; ///< For error output and configuration records.
    std::vector<std::string> engineFlags_; ///< Additional flags of the engines; set before start().

private:
    std::string writeRecords() const;
    std::vector<std::string> nodeArguments(int number) const;

    int nodes_ = 0;
    std::map<std::string, std::unique_ptr<Process>> processes_;
};

} // namespace filbertgw::testing

#endif
