#include "fakes/fakelog.h"
#include "journal/journalfold.h"
#include "journal/programid.h"
#include "program/programcontroller.h"
#include "slopes/slopes.h"

#include <chrono>
#include <cmath>
#include <memory>

namespace filbertgw::bench {

namespace {

constexpr std::size_t textBytes = 1'000; ///< Prompt and answer of one turn: 250 tokens at 4 bytes each.
constexpr Spend manyTokens{1'000'000'000, 1'000'000, 1'000'000'000};

double secondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

/** \brief Journal entries of programs that take turns one after the other. */
class EntrySource
{
public:
    explicit EntrySource(std::size_t programs)
        : programs_(programs)
    {
    }

    std::vector<LogEntry> creates()
    {
        std::vector<LogEntry> entries;
        for (std::size_t i = 0; i < programs_; ++i) {
            CreateBody body;
            body.requestId_ = RequestId("create-" + std::to_string(i));
            body.account_ = AccountId("account-" + std::to_string(i % 100));
            body.budget_ = manyTokens;
            body.maxTurns_ = 200;
            entries.push_back(entry(RecordType::Create, i, 0, body));
        }
        return entries;
    }
    std::vector<LogEntry> turns(std::uint64_t sequence)
    {
        std::vector<LogEntry> entries;
        for (std::size_t i = 0; i < programs_; ++i) {
            TurnBody body;
            body.sequence_ = sequence;
            body.requestId_ = RequestId("request-" + std::to_string(sequence));
            body.requestHash_ = std::string(32, 'h');
            body.contentHash_ = std::string(64, 'c');
            body.target_ = "model";
            body.input_ = std::string(textBytes / 2, 'i');
            body.answer_ = std::string(textBytes / 2, 'a');
            body.usage_ = {250, 1, 10};
            body.endpoint_ = EndpointId("engine-1");
            entries.push_back(entry(RecordType::Turn, i, i + 1, std::move(body)));
        }
        return entries;
    }
    std::vector<LogEntry> idleCheckpoints(const JournalFold &fold)
    {
        std::vector<LogEntry> entries;
        for (std::size_t i = 0; i < programs_; ++i) {
            CheckpointBody body;
            body.coveredOffset_ = fold.offset();
            body.idle_ = true;
            body.state_ = toJson(*fold.tree(idOf(i)));
            entries.push_back(entry(RecordType::Checkpoint, i, i + 1, std::move(body)));
        }
        return entries;
    }

private:
    static ProgramId idOf(std::size_t i)
    {
        return joinProgramId({static_cast<std::uint16_t>(i % 4096), i * 0x9e3779b97f4a7c15ULL});
    }
    LogEntry entry(RecordType type, std::size_t program, Offset fencing, RecordBody body)
    {
        Record record;
        record.id_ = RecordId("node-1.abcdef012345#" + std::to_string(++number_));
        record.type_ = type;
        record.program_ = idOf(program);
        record.root_ = record.program_;
        record.node_ = NodeId("node-1");
        record.fencing_ = fencing;
        record.body_ = std::move(body);
        return {number_, Time(std::chrono::seconds(1000)), toJson(record)};
    }

    std::size_t programs_;
    std::uint64_t number_ = 0;
};

void measureFold(const Emit &emit, std::size_t programs, std::size_t turns)
{
    EntrySource source(programs);
    const std::size_t before = heapBytes();
    std::unique_ptr<JournalFold> fold = std::make_unique<JournalFold>();
    double seconds = 0;
    std::size_t records = 0;
    const auto apply = [&](const std::vector<LogEntry> &entries) {
        const auto begin = std::chrono::steady_clock::now();
        for (const LogEntry &entry : entries) {
            fold->apply(entry);
        }
        seconds += secondsSince(begin);
        records += entries.size();
    };
    apply(source.creates());
    const std::size_t created = heapBytes();
    for (std::size_t sequence = 0; sequence < turns; ++sequence) {
        apply(source.turns(sequence));
    }
    const double live = static_cast<double>(heapBytes() - before);
    const double count = static_cast<double>(records);
    const nlohmann::json size = {{"programs", programs}, {"records", records}, {"text_bytes_per_turn", textBytes}};
    emit({{"slope", "journal_fold_record"}, {"size", size}, {"ns", seconds * 1e9 / count}, {"bytes", live / count}});
    emit({{"slope", "journal_replay"}, {"size", size}, {"ns", seconds * 1e9}});
    emit({{"slope", "program_live"}, {"size", size}, {"bytes", live / static_cast<double>(programs)}});
    emit({{"slope", "program_without_turns"},
          {"size", size},
          {"bytes", static_cast<double>(created - before) / static_cast<double>(programs)}});
    {
        const std::vector<LogEntry> checkpoints = source.idleCheckpoints(*fold);
        apply(checkpoints);
    }
    // What is left of the fold beside the idle programs: the table of node names and the containers' own memory.
    const double idle = static_cast<double>(heapBytes() - before);
    emit({{"slope", "program_idle"},
          {"size", size},
          {"bytes", idle / static_cast<double>(programs)},
          {"idle", fold->idlePrograms().size()},
          {"bytes_of_entry", sizeof(IdleProgram)}});
}

/** \brief A controller in virtual time whose calls take a random time and are all answered. */
struct SlopeNode
{
    Blackboard blackboard_;
    std::unique_ptr<ProgramController> controller_;
};

void measureAppends(const Emit &emit, int nodeCount, double turnsPerSecond)
{
    VirtualLoop loop;
    loop.runUntil(Time(std::chrono::seconds(1000)));
    SeededRandom random(5);
    FakeLog log(loop, 6);
    log.faults().oneWay_ = std::chrono::milliseconds(5);
    std::vector<std::unique_ptr<SlopeNode>> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<SlopeNode>());
        SlopeNode *node = nodes.back().get();
        ProgramHooks hooks;
        hooks.now_ = [&loop]() { return loop.now(); };
        hooks.random_ = [&random]() { return random.next(); };
        hooks.log_ = log.access([](std::function<void()> run) { run(); });
        hooks.cancel_ = [](const ProgramId &, const RequestId &) {};
        hooks.isAlive_ = [](const NodeId &) { return true; };
        hooks.preferredNode_ = [nodeCount](std::uint32_t slot) {
            return NodeId("n" + std::to_string(slot % static_cast<std::uint32_t>(nodeCount)));
        };
        hooks.dispatch_ = [&loop, &random, node](const Dispatch &order) {
            DispatchOutcome outcome;
            outcome.program_ = order.call_.program_;
            outcome.requestId_ = order.call_.requestId_;
            outcome.status_ = DispatchStatus::Answered;
            outcome.body_ = std::string(textBytes / 2, 'a');
            outcome.usage_ = {250, 1, 10};
            loop.after(std::chrono::milliseconds(random.between(100, 2'000)),
                       [node, outcome]() { node->controller_->onOutcome(outcome); });
        };
        node->controller_ =
            ProgramController::Builder(NodeId("n" + std::to_string(i)), node->blackboard_, std::move(hooks)).build();
        node->controller_->start();
    }
    std::vector<std::pair<SlopeNode *, ProgramId>> programs;
    const auto run = [&](double seconds) {
        const Time end = loop.now() + fromSeconds(seconds);
        while (loop.now() < end) {
            loop.runUntil(loop.now() + std::chrono::milliseconds(100));
            for (const std::unique_ptr<SlopeNode> &node : nodes) {
                node->controller_->tick();
            }
        }
    };
    run(1);
    for (int i = 0; i < nodeCount * 40; ++i) {
        SlopeNode *node = nodes[static_cast<std::size_t>(i % nodeCount)].get();
        CreateRequest request;
        request.requestId_ = RequestId("create-" + std::to_string(i));
        request.budget_ = manyTokens;
        request.maxTurns_ = 100'000;
        node->controller_->create(request, [&programs, node](const Result<ProgramId> &result) {
            if (result) {
                programs.emplace_back(node, result.value());
            }
        });
    }
    run(2);
    // Arrivals are random; one call in ten is non-idempotent and needs an intent before it.
    constexpr double measured = 30;
    const std::uint64_t appendsBefore = log.appends();
    std::size_t turns = 0;
    int calls = 0;
    const Time end = loop.now() + fromSeconds(measured);
    for (double at = 0; at < measured; at += -std::log(1 - random.uniform()) / turnsPerSecond) {
        loop.after(fromSeconds(at), [&]() {
            const std::pair<SlopeNode *, ProgramId> &chosen =
                programs[static_cast<std::size_t>(random.next() % programs.size())];
            CallRequest request;
            request.requestId_ = RequestId("r" + std::to_string(++calls));
            request.program_ = chosen.second;
            request.input_ = std::string(textBytes / 2, 'i');
            request.idempotent_ = !random.chance(0.1);
            request.kind_ = request.idempotent_ ? CallKind::Model : CallKind::Tool;
            chosen.first->controller_->submit(request,
                                              [&turns](const CallAnswer &answer) { turns += answer.failure_ ? 0 : 1; });
        });
    }
    run(toSeconds(end - loop.now()));
    const double appends = static_cast<double>(log.appends() - appendsBefore) / measured;
    emit({{"slope", "journal_appends"},
          {"size", {{"nodes", nodeCount}, {"turns_per_s", turnsPerSecond}, {"append_ms", 10}}},
          {"per_s", appends},
          {"turns_measured_per_s", static_cast<double>(turns) / measured},
          {"target_per_s", nodeCount == 10 && turnsPerSecond == 100 ? nlohmann::json(150) : nlohmann::json()}});
}

const SlopeSet journalSet("journal", [](const Emit &emit) {
    for (const std::size_t programs : {100U, 1'000U, 14'000U}) {
        measureFold(emit, programs, programs >= 14'000U ? 5 : 10);
    }
    measureFold(emit, 1'000, 100);
    measureAppends(emit, 10, 100);
    measureAppends(emit, 10, 300);
});

} // namespace

} // namespace filbertgw::bench
