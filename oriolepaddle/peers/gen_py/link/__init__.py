__all__ = ['ttypes', 'constants', 'Link']
