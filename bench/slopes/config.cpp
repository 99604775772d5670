#include "config/accountkeys.h"
#include "config/accountlimiter.h"
#include "config/configcontroller.h"
#include "config/configfold.h"
#include "slopes/slopes.h"

#include <chrono>

namespace filbertgw::bench {

namespace {

using WallClock = std::chrono::steady_clock;

constexpr std::size_t recordCounts[] = {100, 1000, 21'000};

double nanosecondsSince(WallClock::time_point begin)
{
    return std::chrono::duration<double, std::nano>(WallClock::now() - begin).count();
}

nlohmann::json record(const std::string &kind, std::size_t index, nlohmann::json body)
{
    const std::string number = std::to_string(index);
    return {{"kind", kind},
            {"name", kind + "-office-" + number},
            {"schema", newestSchema},
            {"id", "0123456789abcdef0123456789abcdef" + number},
            {"replaces", 0},
            {"body", std::move(body)}};
}

nlohmann::json accountRecord(std::size_t index)
{
    const std::string salt = "0123456789abcdef";
    return record("account",
                  index,
                  {{"keys", {salt + "$" + std::string(64, 'a')}},
                   {"requests_per_second", 1.5},
                   {"concurrent_calls", 10},
                   {"open_programs", 20}});
}

nlohmann::json endpointRecord(std::size_t index)
{
    return record("endpoint",
                  index,
                  {{"kind", "model"},
                   {"address", "10.20.30.40:8000"},
                   {"domain", "domain-" + std::to_string(index % 6)},
                   {"models", {"model-1", "model-2", "model-3"}},
                   {"cache_tokens", 1'000'000}});
}

void measureFold(const Emit &emit,
                 const char *slope,
                 std::size_t count,
                 nlohmann::json (*makeRecord)(std::size_t index))
{
    const std::size_t before = heapBytes();
    ConfigSection section;
    ConfigFold fold(section);
    std::chrono::duration<double, std::nano> elapsed{0};
    for (std::size_t i = 0; i < count; ++i) {
        const LogEntry entry{i + 1, Time(1), makeRecord(i)};
        const WallClock::time_point begin = WallClock::now();
        fold.fold(entry);
        elapsed += WallClock::now() - begin;
    }
    const double records = static_cast<double>(count);
    emit({{"slope", slope},
          {"size", count},
          {"bytes", static_cast<double>(heapBytes() - before) / records},
          {"bytes_total", heapBytes() - before},
          {"ns", elapsed.count() / records}});
}

void measureRestart(const Emit &emit, std::size_t count)
{
    std::vector<PackedEntry> entries;
    for (std::size_t i = 0; i < count; ++i) {
        nlohmann::json copy = accountRecord(i);
        copy["origin"] = i + 1;
        entries.push_back(packEntry(LogEntry{count + i + 1, Time(1), copy}));
    }
    ConfigSection section;
    ConfigFold fold(section);
    const WallClock::time_point begin = WallClock::now();
    fold.foldAfterGap(entries);
    emit({{"slope", "config_start_from_copies"},
          {"size", count},
          {"ns", nanosecondsSince(begin) / static_cast<double>(count)},
          {"in_force", section.inForce_.size()}});
}

void measureLimiter(const Emit &emit, std::size_t count)
{
    std::vector<AccountConfig> accounts;
    for (std::size_t i = 0; i < count; ++i) {
        accounts.push_back(AccountConfig{AccountId("account-office-" + std::to_string(i)), {}, 1.5, 9, 9});
    }
    const std::size_t before = heapBytes();
    AccountLimiter limiter;
    for (const AccountConfig &account : accounts) {
        static_cast<void>(limiter.admitCall(account, Time(1)));
    }
    const std::size_t bytes = heapBytes() - before;
    constexpr int rounds = 5;
    const WallClock::time_point begin = WallClock::now();
    for (int round = 1; round <= rounds; ++round) {
        for (const AccountConfig &account : accounts) {
            limiter.callEnded(account.id_, std::chrono::seconds(round));
            static_cast<void>(limiter.admitCall(account, std::chrono::seconds(round)));
        }
    }
    const double calls = static_cast<double>(count * rounds);
    emit({{"slope", "account_limiter"},
          {"size", count},
          {"bytes", static_cast<double>(bytes) / static_cast<double>(count)},
          {"bytes_total", bytes},
          {"ns", nanosecondsSince(begin) / calls}});
}

void measureKeys(const Emit &emit, std::size_t count)
{
    ConfigSection section;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string name = "office" + std::to_string(i);
        section.accounts_[AccountId(name)].saltedKeyHashes_ = {saltedKeyHash("0123456789abcdef", name + ".secret")};
    }
    constexpr int rounds = 2000;
    int accepted = 0;
    const WallClock::time_point begin = WallClock::now();
    for (int i = 0; i < rounds; ++i) {
        accepted += authenticate(section, "office" + std::to_string(i % count) + ".secret") ? 1 : 0;
    }
    emit({{"slope", "key_check"}, {"size", count}, {"ns", nanosecondsSince(begin) / rounds}, {"accepted", accepted}});
}

void measure(const Emit &emit)
{
    for (std::size_t count : recordCounts) {
        measureFold(emit, "config_account_record", count, accountRecord);
        measureRestart(emit, count);
        measureLimiter(emit, count);
        measureKeys(emit, count);
    }
    for (std::size_t count : {12, 100, 710}) {
        measureFold(emit, "config_endpoint_record", count, endpointRecord);
    }
}

const SlopeSet configSlopes("config", measure);

} // namespace

} // namespace filbertgw::bench
