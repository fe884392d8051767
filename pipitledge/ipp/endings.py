"""From what became of a print job at a printer to the ending of its execution, and so to the module's outcome."""

from __future__ import annotations

from pipitledge.ipp.placement import Verdict
from pipitledge.node.end_reasons import EndReason

# Can it have printed? NOT_REACHED: no request came whole. TURNED_AWAY: the printer said that it took nothing.
# UNPRINTED: no byte of the document went out, or the printer itself says that no impression was made and none will
# be. REJECTED never printed either, but is the job's own fault: WORKER_FAILED ends it, as another printer would say
# the same. MAY_HAVE_PRINTED is all that is left without a proof.
ENDINGS = {
    Verdict.PRINTED: EndReason.SERVED,
    Verdict.TURNED_AWAY: EndReason.HANDED_BACK,
    Verdict.NOT_REACHED: EndReason.DIAL_REFUSED,
    Verdict.UNPRINTED: EndReason.PROVED_UNPRINTED,
    Verdict.MAY_HAVE_PRINTED: EndReason.MAY_HAVE_PRINTED,
    Verdict.REJECTED: EndReason.WORKER_FAILED,
}
