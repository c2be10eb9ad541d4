"""Payloads of the demo: nightly counts of Danish municipalities."""

from __future__ import annotations

import random
from itertools import product
from typing import Any


NIGHTS = 30
SEED = 2026
MONTHS = ["2026-06", "2026-07", "2026-08"]
RUN_TIME_MS = 50
MUNICIPALITIES = """
Albertslund Allerød Assens Ballerup Billund Bornholm Brøndby Brønderslev Dragør Egedal
Esbjerg Fanø Favrskov Faxe Fredensborg Fredericia Frederiksberg Frederikshavn
Frederikssund Furesø Faaborg-Midtfyn Gentofte Gladsaxe Glostrup Greve Gribskov
Guldborgsund Haderslev Halsnæs Hedensted Helsingør Herlev Herning Hillerød Hjørring
Holbæk Holstebro Horsens Hvidovre Høje-Taastrup Hørsholm Ikast-Brande Ishøj Jammerbugt
Kalundborg Kerteminde Kolding København Køge Langeland Lejre Lemvig Lolland
Lyngby-Taarbæk Læsø Mariagerfjord Middelfart Morsø Norddjurs Nordfyn Nyborg Næstved
Odder Odense Odsherred Randers Rebild Ringkøbing-Skjern Ringsted Roskilde Rudersdal
Rødovre Samsø Silkeborg Skanderborg Skive Slagelse Solrød Sorø Stevns Struer Svendborg
Syddjurs Sønderborg Thisted Tønder Tårnby Vallensbæk Varde Vejen Vejle Vesthimmerland
Viborg Vordingborg Ærø Aabenraa Aalborg Aarhus
"""


def make_payloads(count: int) -> list[dict[str, Any]]:
    """Returns payloads that request the sum of a month's nightly counts."""
    generator = random.Random(SEED)
    pairs = list(product(MONTHS, MUNICIPALITIES.split()))[:count]
    return [
        {
            "echo": f"{municipality} {month}",
            "sum": [generator.randrange(20, 4000) for _ in range(NIGHTS)],
            "sleep_ms": RUN_TIME_MS,
        }
        for month, municipality in pairs
    ]


def expected_results(payloads: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Returns the result that the targets must return for each payload."""
    return [
        {"sum": sum(payload["sum"]), "echo": payload["echo"]} for payload in payloads
    ]
