#include "bench/generated_body.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // Redefines `new`, so it must be included last.

using namespace fuchsiagauge::bench;

namespace {

std::string readInChunks(const generated_body& body, std::size_t chunkBytes)
{
    std::string bytes(body.getSize(), '\0');
    for (std::size_t offset = 0; offset < bytes.size(); offset += chunkBytes)
        body.read(offset, bytes.data() + offset, std::min(chunkBytes, bytes.size() - offset));
    return bytes;
}

} // namespace

TEST_GROUP(generated_body_tests) {};

TEST(generated_body_tests, readsTheSameBytesForAnyChunkSize)
{
    CHECK(rc::check("the bytes are the same for any chunk size", [](const std::string& requestKey) {
        const auto size = *rc::gen::inRange<std::size_t>(0, 20000);
        const auto chunkBytes = *rc::gen::inRange<std::size_t>(1, 9000);
        const generated_body body("/path", requestKey, size);
        const auto whole = readInChunks(body, size + 1);
        RC_ASSERT(readInChunks(body, chunkBytes) == whole);
        body_digest digest;
        digest.add(whole.data(), whole.size());
        RC_ASSERT(digest.format() == body.computeDigest());
    }));
}

TEST(generated_body_tests, differsByPathNameAndSize)
{
    const auto digest = generated_body("/a", "1", 100).computeDigest();
    CHECK(digest != generated_body("/b", "1", 100).computeDigest());
    CHECK(digest != generated_body("/a", "2", 100).computeDigest());
    CHECK(digest != generated_body("/a", "1", 101).computeDigest());
}

TEST(generated_body_tests, hasTheKnownDigestOfAnEmptyBody)
{
    STRCMP_EQUAL("ef46db3751d8e999", generated_body("/a", "1", 0).computeDigest().c_str());
}
