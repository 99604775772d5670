#ifndef FILBERTGW_TEST_PLATFORM_GATEWAYFLEET_H
#define FILBERTGW_TEST_PLATFORM_GATEWAYFLEET_H

#include "node/processes.h"

#include "net/httpclient.h"

#include <memory>
#include <string>
#include <vector>

namespace filbertgw::testing {

/** \brief Loopback addresses and ports of one deployment; all nodes have the same ports, as on the platform. */
struct DeploymentPorts
{
    std::string base_; ///< The first three numbers of the addresses.
    std::uint16_t client_ = 0;
    std::uint16_t readiness_ = 0;
    std::uint16_t firstPeer_ = 0;
    std::uint16_t engine_ = 0;
    std::uint16_t store_ = 0;

    std::string host(std::size_t number) const;
    std::string address(std::size_t number, std::uint16_t port) const;
};

/** \brief Picks addresses that depend on the process id, and ports that are free there. */
DeploymentPorts findPorts();

/** \brief `filbertgw gateway` as several processes; the destructor ends them by their ids. */
class GatewayFleet
{
public:
    /**
     * \param program path of the program to run; the one of the build directory if empty
     * \param storeAddresses one for each node
     */
    GatewayFleet(IoLoop &loop,
                 DeploymentPorts ports,
                 std::string directory,
                 std::string program,
                 std::vector<std::string> storeAddresses);
    ~GatewayFleet();

    std::size_t size() const;
    /** \brief Memory and descriptors that the settings name, from the next start of a node. */
    void setLimits(std::uint32_t memoryMb, std::uint32_t descriptors);
    /** \brief Process id of a node that was started. */
    pid_t pid(std::size_t node) const;
    /** \brief Starts a node; any process of it that still runs is killed first. */
    void start(std::size_t node);
    void signal(std::size_t node, int number);
    /** \brief Kills a node and waits for its end. */
    void kill(std::size_t node);
    bool isRunning(std::size_t node);
    std::string clientAddress(std::size_t node) const;
    /** \brief Asks a node whether it is ready. */
    void askReadiness(std::size_t node, std::function<void(bool)> done);
    /** \brief Asks a node for its metrics or its state, by path. */
    void askText(std::size_t node, const std::string &path, std::function<void(const std::string &text)> done);
    /** \brief Lines of the nodes' logs that contain one of the texts. */
    std::string logLines(const std::vector<std::string> &texts) const;

private:
    struct Node
    {
        std::unique_ptr<Process> process_;
        std::vector<std::string> logs_; ///< One for each start.
    };

    void writeSettings(std::size_t node) const;
    std::string settingsPath(std::size_t node) const;
    static std::string nameOf(std::size_t node);

    DeploymentPorts ports_;
    std::string directory_;
    std::string program_;
    std::vector<std::string> storeAddresses_;
    std::vector<Node> nodes_;
    std::uint32_t memoryMb_ = 290;
    std::uint32_t descriptors_ = 8200;
    HttpClient http_;
};

} // namespace filbertgw::testing

#endif
