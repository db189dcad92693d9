#pragma once

#include "policy/document_delta.h"
#include "policy/document_store.h"
#include "policy/instance_announcement.h"
#include "policy/reader_election.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace fuchsiagauge {

/// Largest encoded peer message, in bytes.
constexpr std::size_t maxPeerMessageBytes = 2097152;

/// The documents that nodes pass on.
enum class document_kind {
    Presets,
    VmList,
};

constexpr std::size_t documentKindCount = 2;

/// First message of the accepting side: what the opening side has to sign.
struct peer_challenge {
    std::string nonce;

    friend bool operator==(const peer_challenge& a, const peer_challenge& b) { return a.nonce == b.nonce; }
    friend bool operator!=(const peer_challenge& a, const peer_challenge& b) { return !(a == b); }
};

/// Introduces a side of a link: the opening side's answer to the challenge, and the accepting side's to that.
struct peer_hello {
    std::string instance;
    std::uint64_t startNumber = 0;
    std::string nonce; ///< What the other side has to sign; empty in the accepting side's.
    std::string signature;

    friend bool operator==(const peer_hello& a, const peer_hello& b)
    {
        return std::tie(a.instance, a.startNumber, a.nonce, a.signature)
            == std::tie(b.instance, b.startNumber, b.nonce, b.signature);
    }
    friend bool operator!=(const peer_hello& a, const peer_hello& b) { return !(a == b); }
};

/// Regular word of a node: what it has and what it heard of the readers.
struct peer_heartbeat {
    document_version presets;
    document_version vmList;
    std::uint64_t factsDigest = 0;
    reader_sighting reader;

    friend bool operator==(const peer_heartbeat& a, const peer_heartbeat& b)
    {
        return std::tie(a.presets, a.vmList, a.factsDigest, a.reader)
            == std::tie(b.presets, b.vmList, b.factsDigest, b.reader);
    }
    friend bool operator!=(const peer_heartbeat& a, const peer_heartbeat& b) { return !(a == b); }
};

/// Statements that are new to the receiver.
struct peer_facts {
    std::vector<instance_announcement> facts;
    std::vector<announcement_refresh> refreshes;

    friend bool operator==(const peer_facts& a, const peer_facts& b)
    {
        return std::tie(a.facts, a.refreshes) == std::tie(b.facts, b.refreshes);
    }
    friend bool operator!=(const peer_facts& a, const peer_facts& b) { return !(a == b); }
};

/// Digests of the statements by bucket; the receiver sends the statements of the buckets that differ.
struct peer_fact_digests {
    std::vector<std::uint64_t> buckets;
    bool isReply = false;

    friend bool operator==(const peer_fact_digests& a, const peer_fact_digests& b)
    {
        return std::tie(a.buckets, a.isReply) == std::tie(b.buckets, b.isReply);
    }
    friend bool operator!=(const peer_fact_digests& a, const peer_fact_digests& b) { return !(a == b); }
};

/// Asks for a document.
struct document_request {
    document_kind kind = document_kind::Presets;
    std::vector<std::uint64_t> chunkHashes; ///< Chunks that the asking side has.

    friend bool operator==(const document_request& a, const document_request& b)
    {
        return std::tie(a.kind, a.chunkHashes) == std::tie(b.kind, b.chunkHashes);
    }
    friend bool operator!=(const document_request& a, const document_request& b) { return !(a == b); }
};

/// Gives a document in terms of the chunks that the asking side has.
struct document_answer {
    document_kind kind = document_kind::Presets;
    document_version version;
    std::vector<delta_step> steps;

    friend bool operator==(const document_answer& a, const document_answer& b)
    {
        return std::tie(a.kind, a.version, a.steps) == std::tie(b.kind, b.version, b.steps);
    }
    friend bool operator!=(const document_answer& a, const document_answer& b) { return !(a == b); }
};

/// Whatever one node says to another on a peer link.
using peer_message = std::variant<peer_challenge, peer_hello, peer_heartbeat, peer_facts, peer_fact_digests,
    document_request, document_answer>;

/// @return the message in CBOR.
std::string encodePeerMessage(const peer_message& message);

/// Reads a message.
/// @param bytes CBOR.
/// @return the message, or nothing with error_kind::BadPeerMessage.
std::optional<peer_message> decodePeerMessage(const std::string& bytes);

} // namespace fuchsiagauge
