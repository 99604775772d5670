#ifndef FILBERTGW_NODE_STREAMDEDUPLICATOR_H
#define FILBERTGW_NODE_STREAMDEDUPLICATOR_H

#include <string>

namespace filbertgw {

/**
 * \brief Keeps the text that a caller has got of an answer equal to the text of the run that counts.
 *
 * A call may be run again after a crash. Text that the caller already has is not repeated; if the new run gives other
 * text, the stream restarts from the beginning.
 */
class StreamDeduplicator
{
public:
    /** \brief What to send to the caller. */
    struct Update
    {
        bool restart_ = false; ///< The caller must drop what it has first.
        std::string text_; ///< May be empty.
    };

    /** \brief A new run begins; its text is compared with what was sent. */
    void rerun();
    /** \brief More text of the current run. */
    Update add(const std::string &text);
    /** \brief The final text of the answer. */
    Update complete(const std::string &whole);

private:
    Update reconcile();

    std::string sent_; ///< What the caller has.
    std::string run_; ///< Text of the current run so far; empty while the run is level.
    bool isInSync_ = true; ///< The current run's text is what the caller has.
};

} // namespace filbertgw

#endif
