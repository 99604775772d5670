#include "processes.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

namespace filbertgw::testing {
namespace {

constexpr std::chrono::seconds maxWait(60); // Far above any wait of a test, so that only a hung test reaches it.
constexpr std::chrono::milliseconds pollInterval(10);

} // namespace

Process::Process(const std::string &program,
                 const std::vector<std::string> &arguments,
                 const std::string &errorFile,
                 const std::map<std::string, std::string> &environment)
    : errorFile_(errorFile)
{
    const bool isPath = !program.empty() && program.front() == '/';
    std::vector<std::string> words{isPath ? program : std::string(FILBERTGW_BUILD_DIR) + "/" + program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    for (std::string &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(127);
    }
    for (const std::pair<const std::string, std::string> &variable : environment) {
        setenv(variable.first.c_str(), variable.second.c_str(), 1);
    }
    const int file = open(errorFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(file, STDERR_FILENO);
    dup2(file, STDOUT_FILENO);
    // A socket of the test that a child has inherited would stay open when the test closes it.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(argv[0], argv.data());
    _exit(127);
}

Process::~Process()
{
    if (pid_ > 0) {
        signal(SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

void Process::signal(int number) const
{
    if (pid_ > 0) {
        kill(pid_, number);
    }
}

bool Process::isRunning()
{
    if (pid_ <= 0) {
        return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) {
        return true;
    }
    pid_ = -1;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return false;
}

int Process::wait()
{
    return waitFor([this] { return !isRunning(); }) ? status_ : -1;
}

pid_t Process::pid() const
{
    return pid_;
}

const std::string &Process::errorFile() const
{
    return errorFile_;
}

bool waitFor(const std::function<bool()> &condition)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + maxWait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string processAddress(int port)
{
    const unsigned pid = unsigned(getpid());
    return "127." + std::to_string((pid >> 16U) & 0xffU) + "." + std::to_string((pid >> 8U) & 0xffU) + "."
        + std::to_string(pid & 0xffU) + ":" + std::to_string(port);
}

Response sendRequest(const std::string &address,
                     const std::string &method,
                     const std::string &target,
                     const std::string &key,
                     const nlohmann::json &body,
                     const std::map<std::string, std::string> &headers,
                     Duration timeout)
{
    IoLoop loop;
    HttpClient http(loop);
    HttpResult result;
    HttpCall call;
    call.address_ = address;
    call.request_.method_ = method;
    call.request_.target_ = target;
    call.request_.headers_ = headers;
    call.request_.headers_["authorization"] = "Bearer " + key;
    if (!body.is_null()) {
        call.request_.headers_["content-type"] = "application/json";
        call.request_.body_ = body.dump();
    }
    call.timeout_ = timeout;
    call.onDone_ = [&](const HttpResult &response) {
        result = response;
        loop.stop();
    };
    http.start(std::move(call));
    loop.run();
    return {result.outcome_, result.status_, result.body_, nlohmann::json::parse(result.body_, nullptr, false)};
}

} // namespace filbertgw::testing
