__all__ = ['ttypes', 'constants', 'Peers']
