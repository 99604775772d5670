#ifndef FILBERTGW_TEST_NODE_PROCESSES_H
#define FILBERTGW_TEST_NODE_PROCESSES_H

#include "cli/syncclient.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertgw::testing {

/** \brief A process that a test has started; it is killed and reaped at the end. */
class Process
{
public:
    /** \brief Starts a program of the build directory; its standard error goes to a file. */
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &errorFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /** \brief Waits for the end. \return the exit status, or -1 if a signal ended it or it hangs. */
    int wait();
    bool isRunning();
    const std::string &errorFile() const;

private:
    pid_t pid_ = -1;
    int status_ = -1;
    std::string errorFile_;
};

/** \brief Waits for a condition; the bound only ends a hung test. */
bool waitFor(const std::function<bool()> &condition);

/** \brief Whole content of a file. */
std::string readFile(const std::string &path);

/**
 * \brief A loopback address of this test process's own, so that tests that run at the same time can't collide.
 * \return host:port
 */
std::string ownAddress(int port);

/** \brief Answer to a request of a test. */
struct Answer
{
    HttpOutcome outcome_ = HttpOutcome::NotConnected;
    int status_ = 0;
    std::string text_;
    nlohmann::json json_;
};

/** \brief Sends one request and waits for its answer. */
Answer ask(const std::string &address,
           const std::string &method,
           const std::string &target,
           const std::string &key,
           const nlohmann::json &body = nullptr,
           const std::map<std::string, std::string> &headers = {},
           Duration timeout = std::chrono::seconds(60));

} // namespace filbertgw::testing

#endif
