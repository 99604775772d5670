#include "membership/slotmap.h"
#include "slopes/memberfleet.h"
#include "slopes/slopes.h"

#include <chrono>
#include <cmath>

namespace filbertgw::bench {

namespace {

constexpr std::size_t fleetSizes[] = {12, 100, 390};
constexpr double loss = 0.01;
constexpr int udpHeaderBytes = 28;
constexpr std::size_t seedCount = 3;

/** \brief Virtual time until `reached` holds, in steps of 10 ms; -1 after the limit. */
double secondsUntil(MemberFleet &fleet, Duration limit, const std::function<bool()> &reached)
{
    const Time begin = fleet.now();
    while (fleet.now() < begin + limit) {
        if (reached()) {
            return toSeconds(fleet.now() - begin);
        }
        fleet.run(std::chrono::milliseconds(10));
    }
    return -1;
}

void startAll(MemberFleet &fleet, std::size_t size)
{
    for (std::size_t i = 0; i < size; ++i) {
        fleet.add(seedCount);
    }
    fleet.run(std::chrono::seconds(20));
}

void measureTraffic(const Emit &emit, std::size_t size)
{
    MemberFleet fleet(1, loss);
    startAll(fleet, size);
    const std::size_t unknownAfterStart = fleet.falseDeaths();
    constexpr Duration virtualTime = std::chrono::minutes(30);
    fleet.resetBytes();
    fleet.watchForFalseDeaths();
    fleet.run(virtualTime);
    double total = 0;
    double largest = 0;
    double datagrams = 0;
    for (std::size_t i = 0; i < size; ++i) {
        total += fleet.bytesPerSecond(i);
        largest = std::max(largest, fleet.bytesPerSecond(i));
        datagrams += fleet.datagramsPerSecond(i);
    }
    const double nodes = static_cast<double>(size);
    emit({{"slope", "membership_traffic_per_node"},
          {"size", size},
          {"bytes_per_s", total / nodes},
          {"bytes_per_s_largest", largest},
          {"bytes_per_s_with_headers", (total + datagrams * udpHeaderBytes) / nodes},
          {"datagrams_per_s", datagrams / nodes},
          {"loss", loss},
          {"virtual_minutes", 30},
          {"unknown_after_start", unknownAfterStart},
          {"false_death_declarations", fleet.deathDeclarationsOfRunning()}});
}

void measureDetection(const Emit &emit, std::size_t size)
{
    const std::size_t deaths = std::min<std::size_t>(20, size / 3);
    std::vector<double> times;
    MemberFleet fleet(100, loss);
    startAll(fleet, size);
    for (std::size_t i = 0; i < deaths; ++i) {
        fleet.run(std::chrono::seconds(3) + Duration(i * 37'000));
        const std::size_t victim = (i * 7 + 3) % size;
        fleet.kill(victim);
        times.push_back(secondsUntil(
            fleet, std::chrono::seconds(30), [&] { return fleet.shareThatShows(victim, MemberState::Dead) >= 0.99; }));
    }
    std::sort(times.begin(), times.end());
    emit({{"slope", "membership_death_known_to_99_percent"},
          {"size", size},
          {"s_median", times[times.size() / 2]},
          {"s_largest", times.back()},
          {"s_smallest", times.front()},
          {"deaths", deaths}});
}

void measureEvents(const Emit &emit, std::size_t size)
{
    MemberFleet fleet(7, loss);
    startAll(fleet, size);
    fleet.resetBytes();
    const std::size_t joined = fleet.add(seedCount);
    const double join = secondsUntil(
        fleet, std::chrono::seconds(60), [&] { return fleet.shareThatShows(joined, MemberState::Alive) == 1.0; });
    fleet.split([](std::size_t node) { return node % 2 == 0; });
    const double split = secondsUntil(fleet, std::chrono::seconds(120), [&] {
        return fleet.shareThatShows(1, MemberState::Dead) >= 0.49 && fleet.section(0).massLoss_;
    });
    fleet.run(std::chrono::seconds(60));
    fleet.split(nullptr);
    fleet.resetBytes();
    const double heal = secondsUntil(fleet, std::chrono::seconds(120), [&] { return fleet.falseDeaths() == 0; });
    double bytes = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        bytes += fleet.bytesPerSecond(i) * heal / static_cast<double>(fleet.size());
    }
    emit({{"slope", "membership_events"},
          {"size", size},
          {"s_join_known_to_all", join},
          {"s_split_mass_loss", split},
          {"s_heal", heal},
          {"bytes", bytes}});
}

void measureSlotMap(const Emit &emit, std::size_t size)
{
    MembershipSection section;
    for (std::size_t i = 0; i < size; ++i) {
        const Member member = MemberFleet::recordOf(i);
        section.members_[member.id_] = member;
    }
    constexpr int rounds = 20;
    SlotMap map;
    map.rebuild(section);
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        Member &member = section.members_.begin()->second;
        member.state_ = i % 2 == 0 ? MemberState::Dead : MemberState::Alive;
        map.rebuild(section);
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
    emit({{"slope", "slot_map_rebuild"}, {"size", size}, {"ns", elapsed.count() / rounds}});
}

void measureMember(const Emit &emit, std::size_t size)
{
    Blackboard board;
    MembershipHooks hooks;
    hooks.now_ = [] { return Time(1'000'000); };
    std::mt19937_64 random(1);
    hooks.random_ = [&random] { return random(); };
    hooks.send_ = [](const std::string &, const std::string &) {};
    const std::size_t before = heapBytes();
    std::unique_ptr<MembershipController> controller =
        MembershipController::Builder(board, hooks).self(MemberFleet::recordOf(0)).keys({"key"}).build();
    MemberFleet source(1, 0);
    source.add(0);
    std::vector<Member> vms;
    std::string datagram;
    MembershipHooks senderHooks = hooks;
    senderHooks.send_ = [&datagram](const std::string &, const std::string &sent) { datagram = sent; };
    std::chrono::duration<double, std::nano> elapsed{0};
    const std::size_t base = heapBytes();
    for (std::size_t i = 1; i < size; ++i) {
        Blackboard senderBoard;
        std::unique_ptr<MembershipController> sender = MembershipController::Builder(senderBoard, senderHooks)
                                                           .self(MemberFleet::recordOf(i))
                                                           .seeds({"0"})
                                                           .keys({"key"})
                                                           .build();
        sender->tick();
        const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
        controller->onDatagram(datagram);
        elapsed += std::chrono::steady_clock::now() - begin;
    }
    const double members = static_cast<double>(size - 1);
    emit({{"slope", "membership_member"},
          {"size", size},
          {"bytes", static_cast<double>(heapBytes() - base) / members},
          {"bytes_fixed", base - before},
          {"ns", elapsed.count() / members}});
}

void measure(const Emit &emit)
{
    for (std::size_t size : fleetSizes) {
        measureSlotMap(emit, size);
        measureMember(emit, size);
        measureEvents(emit, size);
        measureDetection(emit, size);
        measureTraffic(emit, size);
    }
}

const SlopeSet membershipSlopes("membership", measure);

} // namespace

} // namespace filbertgw::bench
