#include "core/explanation.h"

#include "core/preset_parser.h"
#include "core/text_file.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace fuchsiagauge;

TEST_GROUP(explanation)
{
    preset rules = parsePresetDocument(
        readTextFile(FUCHSIAGAUGE_SOURCE_DIR "/docs/examples/vysivka.json", maxPresetDocumentBytes).value())
                       .value()
                       .getActivePreset();
    node_status status;

    void setup() override
    {
        status.instance = "orders-1";
        status.service = "orders";
        status.target = { 80, 80, 12, 0 };
        status.instances = { { "proofs-1", "proofs", "vychod", "vychod-a", instance_state::Live, true,
            "5 of 5 calls failed", 2 } };
        status.control.cutOffRegions = { "vychod" };
    }

    void checkSentence(const char* name, explanation_kind kind, const std::string& sentence)
    {
        const auto answer = explain(status, rules, name);
        CHECK(answer.kind == kind);
        const auto& all = answer.sentences;
        CHECK_TEXT(std::find(all.begin(), all.end(), sentence) != all.end(), sentence.c_str());
        CHECK(parseExplanation(formatExplanation(answer)) == answer);
    }
};

TEST(explanation, explainsWhichShareOfAClassIsAdmitted)
{
    const auto classKind = explanation_kind::Class;
    checkSentence("browse", classKind, "The target of orders-1 admits it in full.");
    status.target.admissionLevel = (100U << 16U) + 16384;
    checkSentence("browse", classKind,
        "The target of orders-1 admits 75 % of it because of overload (80 in flight, limit 80, 12 queued).");
    status.target.admissionLevel = 101U << 16U;
    checkSentence("browse", classKind,
        "The target of orders-1 refuses it because of overload (80 in flight, limit 80, 12 queued).");
    checkSentence("order", classKind, "The target of orders-1 admits it in full.");
    checkSentence("order", classKind, "Its requests need a ticket, run at most once and are never retried.");
}

TEST(explanation, explainsWhichInstancesAreUsed)
{
    checkSentence("proofs", explanation_kind::Service, "This node sends calls to 0 of its instances.");
    checkSentence("proofs", explanation_kind::Service,
        "proofs-1 (vychod/vychod-a) is live, but ejected by this node: 5 of 5 calls failed; 2 calls of this "
        "node in flight there.");
    checkSentence("proofs-1", explanation_kind::Instance, "This node can reach nothing in region vychod.");
    checkSentence(
        "nobody", explanation_kind::Nothing, "This node knows no class, service or instance of this name.");
}
