#include "net/httpclient.h"

#include <nlohmann/json.hpp>

#include <getopt.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>

namespace filbertgw::bench {

namespace {

/** \brief What to send. */
struct Settings
{
    std::string address_;
    std::string path_ = "/v1/chat/completions";
    std::string model_ = "model";
    std::string key_; ///< Bearer key, if any.
    double rate_ = 100; ///< Requests a second; their times don't depend on answers.
    double seconds_ = 5;
    double warmUpSeconds_ = 1; ///< Sent but not counted.
    std::uint64_t tokens_ = 64;
    std::uint64_t promptBytes_ = 2000;
    std::uint64_t maximumOpen_ = 5000; ///< Requests beyond this are counted as refused here.
    std::vector<int> pids_; ///< Processes whose CPU time is measured.
    std::uint64_t seed_ = 1;
};

/** \brief User and system time of a process in seconds, from fields 14 and 15 of /proc/PID/stat. */
double cpuSeconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    // The second field is the program's name in brackets and may hold spaces.
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int i = 3; i < 14; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double percentile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const std::size_t rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank];
}

/** \brief Sends requests at random times of a Poisson process and measures their streams. */
class Load
{
public:
    Load(IoLoop &loop, Settings settings)
        : loop_(loop)
        , settings_(std::move(settings))
        , client_(loop)
        , random_(settings_.seed_)
        , start_(loop.now())
    {
    }

    nlohmann::json run()
    {
        loop_.after(fromSeconds(settings_.warmUpSeconds_), [this] { beginCounting(); });
        scheduleNext();
        loop_.run();
        return report();
    }

private:
    struct Request
    {
        Time sent_{0};
        bool counts_ = false;
        bool hasFirst_ = false;
        std::string tail_; ///< Start of an event that the next part ends.
        std::uint64_t tokens_ = 0;
        bool isWhole_ = false;
    };

    void beginCounting()
    {
        counting_ = true;
        countedFrom_ = loop_.now();
        for (const int pid : settings_.pids_) {
            cpuBefore_.push_back(cpuSeconds(pid));
        }
        loop_.after(fromSeconds(settings_.seconds_), [this] { stopCounting(); });
    }

    void stopCounting()
    {
        counting_ = false;
        countedSeconds_ = toSeconds(loop_.now() - countedFrom_);
        for (std::size_t i = 0; i < settings_.pids_.size(); ++i) {
            cpu_.push_back(cpuSeconds(settings_.pids_[i]) - cpuBefore_[i]);
        }
        // Requests in progress end first, so that whole answers are known of all that were counted.
        stopping_ = true;
        if (open_ == 0) {
            loop_.stop();
        }
    }

    void scheduleNext()
    {
        next_ += std::exponential_distribution<double>(settings_.rate_)(random_);
        const Duration due = start_ + fromSeconds(next_) - loop_.now();
        loop_.after(std::max(due, Duration{0}), [this] {
            if (!stopping_) {
                send();
                scheduleNext();
            }
        });
    }

    void send()
    {
        if (open_ >= settings_.maximumOpen_) {
            dropped_ += counting_ ? 1 : 0;
            return;
        }
        ++open_;
        const std::shared_ptr<Request> request = std::make_shared<Request>();
        request->sent_ = loop_.now();
        request->counts_ = counting_;
        const std::string id = std::to_string(settings_.seed_) + "-" + std::to_string(++sequence_);
        HttpCall call;
        call.address_ = settings_.address_;
        call.request_.method_ = "POST";
        call.request_.target_ = settings_.path_;
        call.request_.headers_ = {{"content-type", "application/json"}, {"x-request-id", id}};
        if (!settings_.key_.empty()) {
            call.request_.headers_["authorization"] = "Bearer " + settings_.key_;
        }
        std::string text = "request " + id + " ";
        text.resize(std::max<std::size_t>(text.size(), settings_.promptBytes_), 'x');
        const nlohmann::json message{{"role", "user"}, {"content", text}};
        call.request_.body_ = nlohmann::json{{"model", settings_.model_},
                                             {"stream", true},
                                             {"max_tokens", settings_.tokens_},
                                             {"messages", nlohmann::json::array({message})}}
                                  .dump();
        call.onPart_ = [this, request](int status, const std::string &part) { received(*request, status, part); };
        call.onDone_ = [this, request](const HttpResult &result) { ended(*request, result); };
        client_.start(std::move(call));
    }

    void received(Request &request, int status, const std::string &part)
    {
        if (status != 200) {
            return;
        }
        if (!request.hasFirst_ && request.counts_) {
            firstToken_.push_back(toSeconds(loop_.now() - request.sent_));
        }
        request.hasFirst_ = true;
        // A mark may be split between two parts.
        const std::string text = request.tail_ + part;
        const std::uint64_t tokens = count(text, "\"delta\":{\"content\":\"");
        request.tokens_ += tokens;
        countedTokens_ += counting_ ? tokens : 0;
        request.isWhole_ = request.isWhole_ || count(text, "data: [DONE]") > 0;
        const std::size_t event = text.rfind("data: ");
        request.tail_ = event == std::string::npos || text.compare(text.size() - 2, 2, "\n\n") == 0
            ? std::string()
            : text.substr(event);
        if (!request.tail_.empty()) {
            // The unfinished event is looked at again with its rest.
            const std::uint64_t again = count(request.tail_, "\"delta\":{\"content\":\"");
            request.tokens_ -= again;
            countedTokens_ -= counting_ ? again : 0;
        }
    }

    static std::uint64_t count(const std::string &text, const char *mark)
    {
        std::uint64_t found = 0;
        for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1)) {
            ++found;
        }
        return found;
    }

    void ended(const Request &request, const HttpResult &result)
    {
        --open_;
        if (request.counts_) {
            const bool whole = result.outcome_ == HttpOutcome::Complete && result.status_ == 200 && request.isWhole_
                && request.tokens_ == settings_.tokens_;
            ++(whole ? whole_ : failed_);
            if (!whole) {
                ++failures_[std::to_string(static_cast<int>(result.outcome_)) + "/" + std::to_string(result.status_)
                            + (result.status_ == 200 ? " tokens " + std::to_string(request.tokens_) : "")];
            }
            if (whole) {
                total_.push_back(toSeconds(loop_.now() - request.sent_));
            }
        }
        if (stopping_ && open_ == 0) {
            loop_.stop();
        }
    }

    nlohmann::json report()
    {
        nlohmann::json result{{"requests", whole_ + failed_},
                              {"whole", whole_},
                              {"failed", failed_},
                              {"dropped", dropped_},
                              {"failures", failures_},
                              {"seconds", countedSeconds_},
                              {"requests_per_s", static_cast<double>(whole_) / countedSeconds_},
                              {"tokens_per_s", static_cast<double>(countedTokens_) / countedSeconds_},
                              {"first_token_p50_ms", percentile(firstToken_, 0.5) * 1000},
                              {"first_token_p95_ms", percentile(firstToken_, 0.95) * 1000},
                              {"total_p50_ms", percentile(total_, 0.5) * 1000}};
        for (std::size_t i = 0; i < cpu_.size(); ++i) {
            const double perCore = cpu_[i] > 0 ? static_cast<double>(countedTokens_) / cpu_[i] : 0;
            result["processes"].push_back(
                {{"pid", settings_.pids_[i]}, {"cpu_s", cpu_[i]}, {"tokens_per_cpu_s", perCore}});
        }
        return result;
    }

    IoLoop &loop_;
    const Settings settings_;
    HttpClient client_;
    std::mt19937_64 random_;
    const Time start_;
    Time countedFrom_{0};
    double next_ = 0;
    double countedSeconds_ = 0;
    bool counting_ = false;
    bool stopping_ = false;
    std::uint64_t sequence_ = 0;
    std::uint64_t open_ = 0;
    std::uint64_t whole_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t countedTokens_ = 0;
    std::map<std::string, std::uint64_t> failures_; ///< By outcome and status.
    std::vector<double> firstToken_;
    std::vector<double> total_;
    std::vector<double> cpuBefore_;
    std::vector<double> cpu_;
};

constexpr const char *help = "usage: load --address HOST:PORT [options]\n"
                             "  --path PATH        default /v1/chat/completions\n"
                             "  --model NAME       default model\n"
                             "  --key KEY          bearer key\n"
                             "  --rate N           requests a second, default 100\n"
                             "  --seconds N        counted time, default 5\n"
                             "  --warm-up N        seconds before it, default 1\n"
                             "  --tokens N         tokens of each answer, default 64\n"
                             "  --prompt-bytes N   length of each prompt, default 2000\n"
                             "  --pid PID          process whose CPU time is measured; repeated\n"
                             "  --seed N           seed of the arrival times, default 1\n"
                             "Prints one JSON object; exit status 1 if a request failed.\n";

template<typename Number>
bool parse(const char *text, Number &value)
{
    std::istringstream stream(text);
    stream >> value;
    return !stream.fail() && stream.eof() && value >= Number{0};
}

bool parseOption(int option, Settings &settings)
{
    int pid = 0;
    switch (option) {
    case 'a':
        settings.address_ = optarg;
        return true;
    case 'p':
        settings.path_ = optarg;
        return true;
    case 'm':
        settings.model_ = optarg;
        return true;
    case 'k':
        settings.key_ = optarg;
        return true;
    case 'r':
        return parse(optarg, settings.rate_) && settings.rate_ > 0;
    case 's':
        return parse(optarg, settings.seconds_) && settings.seconds_ > 0;
    case 'w':
        return parse(optarg, settings.warmUpSeconds_);
    case 't':
        return parse(optarg, settings.tokens_);
    case 'b':
        return parse(optarg, settings.promptBytes_);
    case 'i':
        if (!parse(optarg, pid)) {
            return false;
        }
        settings.pids_.push_back(pid);
        return true;
    case 'e':
        return parse(optarg, settings.seed_);
    default:
        return false;
    }
}

} // namespace

} // namespace filbertgw::bench

int main(int argc, char **argv)
{
    using namespace filbertgw::bench;
    const option options[] = {{"address", required_argument, nullptr, 'a'},
                              {"path", required_argument, nullptr, 'p'},
                              {"model", required_argument, nullptr, 'm'},
                              {"key", required_argument, nullptr, 'k'},
                              {"rate", required_argument, nullptr, 'r'},
                              {"seconds", required_argument, nullptr, 's'},
                              {"warm-up", required_argument, nullptr, 'w'},
                              {"tokens", required_argument, nullptr, 't'},
                              {"prompt-bytes", required_argument, nullptr, 'b'},
                              {"pid", required_argument, nullptr, 'i'},
                              {"seed", required_argument, nullptr, 'e'},
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    Settings settings;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        if (found == 'h') {
            std::fputs(help, stdout);
            return 0;
        }
        if (!parseOption(found, settings)) {
            std::fputs("load: invalid option; see --help\n", stderr);
            return 2;
        }
    }
    if (settings.address_.empty() || optind < argc) {
        std::fputs("load: --address HOST:PORT is needed; see --help\n", stderr);
        return 2;
    }
    filbertgw::IoLoop loop;
    Load load(loop, settings);
    const nlohmann::json report = load.run();
    std::printf("%s\n", report.dump().c_str());
    return report["failed"] == 0 ? 0 : 1;
}
