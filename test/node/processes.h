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

/** \brief A child process of a test; the destructor kills and reaps it. */
class Process
{
public:
    /**
     * \brief Starts a program of the build directory, or of any directory if its path is absolute.
     *
     * Its output and standard error go to a file. The kernel kills it if the test ends in another way.
     */
    Process(const std::string &program,
            const std::vector<std::string> &arguments,
            const std::string &errorFile,
            const std::map<std::string, std::string> &environment = {});
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /** \brief Waits until the process exits. \return the exit status, or -1 if a signal ended it or it hangs. */
    int wait();
    bool isRunning();
    pid_t pid() const;
    const std::string &errorFile() const;

private:
    pid_t pid_ = -1;
    int status_ = -1;
    std::string errorFile_;
};

/** \brief Polls a condition until it holds. \return false after 60 s, which only a hung test reaches. */
bool waitFor(const std::function<bool()> &condition);

/** \brief The content of a file. */
std::string readFile(const std::string &path);

/**
 * \brief A loopback address that is derived from the process id, so that concurrent tests don't conflict.
 * \return host:port
 */
std::string processAddress(int port);

/** \brief Response to a request of a test. */
struct Response
{
    HttpOutcome outcome_ = HttpOutcome::NotConnected;
    int status_ = 0;
    std::string text_;
    nlohmann::json json_;
};

/** \brief Sends one request and waits for its response. */
Response sendRequest(const std::string &address,
                     const std::string &method,
                     const std::string &target,
                     const std::string &key,
                     const nlohmann::json &body = nullptr,
                     const std::map<std::string, std::string> &headers = {},
                     Duration timeout = std::chrono::seconds(60));

} // namespace filbertgw::testing

#endif
