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

/// Size limit of an encoded peer message, in bytes.
constexpr std::size_t maxPeerMessageBytes = 2097152;

/// The documents that nodes replicate. The values are part of the wire format.
enum class document_kind {
    Presets,
    VmList,
};

constexpr std::size_t documentKindCount = 2;

/// First message of a handshake: the accepting side sends a nonce that the opening side has to sign.
struct peer_challenge {
    std::string nonce;

    friend bool operator==(const peer_challenge& a, const peer_challenge& b) { return a.nonce == b.nonce; }
    friend bool operator!=(const peer_challenge& a, const peer_challenge& b) { return !(a == b); }
};

/// Identifies one side of a link. The opening side replies to the challenge with it, and the accepting side
/// then replies with its own.
struct peer_hello {
    std::string instance;
    std::uint64_t startNumber = 0;
    std::string nonce; ///< What the other side has to sign; empty if sent by the accepting side.
    std::string signature;

    friend bool operator==(const peer_hello& a, const peer_hello& b)
    {
        return std::tie(a.instance, a.startNumber, a.nonce, a.signature)
            == std::tie(b.instance, b.startNumber, b.nonce, b.signature);
    }
    friend bool operator!=(const peer_hello& a, const peer_hello& b) { return !(a == b); }
};

/// Periodic message of a node: its document versions, the digest of its announcements, and the reader it
/// prefers.
struct peer_heartbeat {
    document_version presets;
    document_version vmList;
    std::uint64_t announcementsDigest = 0;
    reader_status reader;

    friend bool operator==(const peer_heartbeat& a, const peer_heartbeat& b)
    {
        return std::tie(a.presets, a.vmList, a.announcementsDigest, a.reader)
            == std::tie(b.presets, b.vmList, b.announcementsDigest, b.reader);
    }
    friend bool operator!=(const peer_heartbeat& a, const peer_heartbeat& b) { return !(a == b); }
};

/// Announcements of instances that the receiver may lack.
struct peer_announcements {
    std::vector<instance_announcement> announcements;
    std::vector<announcement_refresh> refreshes;

    friend bool operator==(const peer_announcements& a, const peer_announcements& b)
    {
        return std::tie(a.announcements, a.refreshes) == std::tie(b.announcements, b.refreshes);
    }
    friend bool operator!=(const peer_announcements& a, const peer_announcements& b) { return !(a == b); }
};

/// Digests of the announcements by bucket. The receiver sends its announcements of the buckets whose digests
/// differ.
struct peer_announcement_digests {
    std::vector<std::uint64_t> buckets;
    bool isReply = false;

    friend bool operator==(const peer_announcement_digests& a, const peer_announcement_digests& b)
    {
        return std::tie(a.buckets, a.isReply) == std::tie(b.buckets, b.isReply);
    }
    friend bool operator!=(const peer_announcement_digests& a, const peer_announcement_digests& b)
    {
        return !(a == b);
    }
};

/// Requests a document.
struct document_request {
    document_kind kind = document_kind::Presets;
    std::vector<std::uint64_t> chunkHashes; ///< Hashes of the chunks that the requesting side has.

    friend bool operator==(const document_request& a, const document_request& b)
    {
        return std::tie(a.kind, a.chunkHashes) == std::tie(b.kind, b.chunkHashes);
    }
    friend bool operator!=(const document_request& a, const document_request& b) { return !(a == b); }
};

/// Returns a document as a delta against the chunks that the requesting side has.
struct document_response {
    document_kind kind = document_kind::Presets;
    document_version version;
    std::vector<delta_step> steps;

    friend bool operator==(const document_response& a, const document_response& b)
    {
        return std::tie(a.kind, a.version, a.steps) == std::tie(b.kind, b.version, b.steps);
    }
    friend bool operator!=(const document_response& a, const document_response& b) { return !(a == b); }
};

/// Any message on a peer link. The index of the alternative is the message type on the wire.
using peer_message = std::variant<peer_challenge, peer_hello, peer_heartbeat, peer_announcements,
    peer_announcement_digests, document_request, document_response>;

/// @return the message, encoded in CBOR.
std::string encodePeerMessage(const peer_message& message);

/// Decodes a message.
/// @param bytes the message, encoded in CBOR.
/// @return the message, or nothing with error_kind::BadPeerMessage.
std::optional<peer_message> decodePeerMessage(const std::string& bytes);

} // namespace fuchsiagauge
