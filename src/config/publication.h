#ifndef FILBERTGW_CONFIG_PUBLICATION_H
#define FILBERTGW_CONFIG_PUBLICATION_H

#include "config/configfold.h"
#include "core/failure.h"

#include <optional>
#include <string>
#include <vector>

namespace filbertgw {

/** \brief A record that is ready to be appended, or what is wrong with it. */
struct PreparedRecord
{
    nlohmann::json record_;
    std::vector<Failure> errors_; ///< Empty if the record may be appended.
};

/** \brief What the fold decided about a published record. */
struct PublicationOutcome
{
    FoldResult result_ = FoldResult::Accepted;
    Offset offset_ = 0;
    std::string detail_; ///< Why it is not in force; empty if accepted.
};

/**
 * \brief An operator's view of the configuration stream: fills in records and tells what became of them.
 *
 * Feed it every page of the stream from nextOffset() on, up to an empty page, before prepare(); then append the record
 * and feed it on until outcome() has a value. If the append's answer was lost and the end of the stream is reached
 * without an outcome, append the same record again: its id makes that harmless.
 */
class Publication
{
public:
    Publication();
    ~Publication();
    Publication(const Publication &) = delete;
    Publication &operator=(const Publication &) = delete;

    Offset nextOffset() const;
    /** \brief Folds a page in; an empty page means that the end of the stream is reached. */
    void onPage(const LogPage &page);
    bool isAtEnd() const;

    /**
     * \brief Fills in `schema` (newest), `id` and `replaces` where the draft leaves them out, and checks the result.
     * \param freshId used if the draft has no id.
     */
    PreparedRecord prepare(nlohmann::json draft, const RecordId &freshId) const;

    /** \brief What became of the first record with this id that was seen since construction. */
    std::optional<PublicationOutcome> outcome(const RecordId &id) const;

    const ConfigSection &section() const;

private:
    void recordOutcome(const LogEntry &entry, FoldResult result);

    ConfigSection section_;
    ConfigFold fold_;
    bool atEnd_ = false;
    Offset gapNext_ = 0; ///< 0 if the stream was read without a gap.
    std::vector<PackedEntry> gapEntries_;
    std::map<RecordId, PublicationOutcome> outcomes_;
};

/** \brief Progress of `publish --wait`: which nodes have folded the record's offset. */
class PublicationProgress
{
public:
    /** \param offset offset at which the record was accepted; a node that has folded it has it in force. */
    explicit PublicationProgress(Offset offset);

    /** \brief A node's answer to `GET /state`; an answer without a config offset counts as behind. */
    void onNodeState(const std::string &node, const nlohmann::json &state);
    void onNodeUnreachable(const std::string &node);

    std::size_t inForce() const;
    std::size_t nodes() const;
    bool isDone() const;
    /** \brief Nodes that don't have it in force, with the offset they have. */
    std::map<std::string, Offset> behind() const;

private:
    Offset offset_;
    std::map<std::string, Offset> nodes_;
};

} // namespace filbertgw

#endif
