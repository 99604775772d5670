#ifndef FILBERTGW_TEST_PLATFORM_PLATFORMSTORE_H
#define FILBERTGW_TEST_PLATFORM_PLATFORMSTORE_H

#include "net/httpserver.h"

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertgw::testing {

/** \brief How the store treats the calls of one node. */
enum class StoreMode : std::uint8_t {
    Up,
    Silent, ///< Calls are neither carried out nor answered.
    Busy, ///< Calls are answered 503 and not carried out.
};

/**
 * \brief Stand-in of the platform's log store.
 *
 * Each node reaches it at an address of its own, so that the store can turn away one node and serve the others.
 */
class PlatformStore
{
public:
    explicit PlatformStore(IoLoop &loop);
    ~PlatformStore();

    /** \brief Listens for one more node. \return the number of the node, from 0. */
    std::size_t listen(const std::string &address);
    void setMode(std::size_t node, StoreMode mode);
    /** \brief Writes a record of the operator or of an engine; without a value the key is dropped. */
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /** \brief Number of records of a partition. */
    std::size_t records(const std::string &topic, std::uint64_t part);

private:
    using Query = std::map<std::string, std::string>;

    /** \brief Last appends of a writer, for refusals of old epochs and answers to repeated appends. */
    struct Producer
    {
        std::uint64_t epoch_ = 0;
        std::optional<std::uint64_t> last_;
        std::map<std::uint64_t, std::string> answers_; ///< By sequence number.
    };
    struct Newest
    {
        std::string value_;
        std::uint64_t offset_ = 0;
    };
    struct Reader
    {
        std::uint64_t id_ = 0;
        std::uint64_t from_ = 0;
        std::uint64_t timer_ = 0;
        std::size_t node_ = 0;
        std::shared_ptr<HttpReply> reply_;
    };
    struct Partition
    {
        bool isKeyed_ = false;
        std::vector<std::string> records_;
        std::map<std::string, Newest> newest_;
        std::map<std::string, Producer> producers_;
        std::list<Reader> readers_;
        Time freeAt_{0}; ///< Appends are processed one at a time.
    };

    Partition &partition(const std::string &topic, std::uint64_t part);
    void onRequest(std::size_t node, const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    /** \brief Answers later with what the call returns; it is carried out then, unless the node was turned away. */
    void answerAfter(std::size_t node,
                     Duration delay,
                     const std::shared_ptr<HttpReply> &reply,
                     std::function<void(const std::shared_ptr<HttpReply> &)> call);
    void append(const Query &query, const std::string &body, const std::shared_ptr<HttpReply> &reply);
    std::optional<std::pair<int, std::string>> checkProducer(Partition &partition, const Query &query);
    void read(std::size_t node, const Query &query, const std::shared_ptr<HttpReply> &reply);
    void newest(const Query &query, const std::shared_ptr<HttpReply> &reply);
    void add(Partition &partition, std::string record);
    void wakeReaders(Partition &partition);
    static std::string page(const Partition &partition, std::uint64_t from);

    IoLoop &loop_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
    std::vector<StoreMode> modes_;
    std::vector<std::vector<std::shared_ptr<HttpReply>>> unanswered_; ///< Calls of nodes that get no answer.
    std::map<std::pair<std::string, std::uint64_t>, Partition> partitions_;
    std::uint64_t nextReader_ = 1;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace filbertgw::testing

#endif
