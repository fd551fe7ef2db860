"""
Tests of the choice of the processes that read the configuration.
"""

import collections

from hawthornpier.fleet import ProcessCard
from hawthornpier.fleet._configuration_readers import readers_of

LARGE_COUNT = 6
SMALL_COUNT = 40


def card(name, *, cores=0.5, link_mbps=10, region='r'):
    return ProcessCard(
        process_id=name,
        address=name,
        region=region,
        processor_cores=cores,
        link_mbps=link_mbps,
    )


def region_cards(region='r'):
    """
    Return the processes of a region, whose small hosts have the first names.
    """
    cards = [
        *(
            card(
                f'{region}-large-{number}',
                cores=2,
                link_mbps=200,
                region=region,
            )
            for number in range(LARGE_COUNT)
        ),
        *(
            card(f'{region}-a-small-{number}', region=region)
            for number in range(SMALL_COUNT)
        ),
    ]
    return {each.address: each for each in cards}


def names(cards):
    return {each.address for each in cards}


def served_counts(cards):
    """
    Return how many processes prefer each reader.
    """
    choices = [readers_of(name, cards, silent=()) for name in cards]
    return collections.Counter(
        readers[0].address for readers in choices if readers
    )


class TestReaderChoice:
    """
    A few large hosts of a region read the configuration for all of it.
    """

    def test_large_hosts_serve_small_ones(self):
        """
        Guards against small hosts on slow links that serve the others.
        """
        for name in region_cards():
            readers = readers_of(name, region_cards(), silent=())
            assert all('large' in each.address for each in readers)

    def test_all_processes_come_to_the_same_choice(self):
        """
        Guards against more readers than intended.
        """
        cards = region_cards()
        choices = [readers_of(name, cards, silent=()) for name in cards]
        followed = [names(readers) for readers in choices if readers]
        assert len(followed) == len(cards) - 5
        assert all(each == followed[0] for each in followed)

    def test_a_fast_processor_on_a_slow_link(self):
        """
        Guards against a reader whose link cannot carry the copies.
        """
        cards = {'slow': card('slow', cores=16, link_mbps=5)} | region_cards()
        assert 'slow' not in names(readers_of('r-a-small-0', cards, silent=()))

    def test_a_silent_reader_is_replaced(self):
        """
        Guards against requests to hosts that are dark or have left.
        """
        cards = region_cards()
        silent = {'r-large-0', 'r-large-2'}
        readers = names(readers_of('r-a-small-7', cards, silent=silent))
        assert readers == {
            'r-large-1',
            'r-large-3',
            'r-large-4',
            'r-large-5',
            'r-a-small-0',
        }

    def test_a_process_reads_if_too_few_others_reply(self):
        """
        Guards against a process without a source.
        """
        cards = region_cards()
        assert readers_of('r-large-5', cards, silent=())
        assert not readers_of('r-large-5', cards, silent={'r-large-1'})

    def test_the_load_is_spread_over_the_readers(self):
        """
        Guards against one reader that serves all processes of a region.
        """
        cards = region_cards()
        served = served_counts(cards)
        assert max(served.values()) < len(cards) / 2
        assert len(served) == 5

    def test_a_small_reader_serves_fewer(self):
        """
        Guards against equal shares for readers of different size.
        """
        cards = {
            name: each
            for name, each in region_cards().items()
            if name not in {'r-large-4', 'r-large-5'}
        }
        served = served_counts(cards)
        assert served['r-a-small-0'] <= SMALL_COUNT / 10

    def test_readers_are_in_the_same_region(self):
        """
        Guards against copies over the link between two regions.
        """
        cards = region_cards('r') | region_cards('s')
        readers = readers_of('s-a-small-3', cards, silent=())
        assert {each.region for each in readers} == {'s'}
